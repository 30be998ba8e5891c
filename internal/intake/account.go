package intake

import (
	"sync/atomic"
	"time"
)

// account is what the entry knows of one caller, or of all unlisted callers
// together. The path of a request uses its atomics only.
type account struct {
	weight     atomic.Int64
	inFlight   atomic.Int64
	seenAt     atomic.Int64 // Unix nanoseconds
	rate       rateLimit
	retryAfter retryAfter
}

func newAccount(weight int) *account {
	c := &account{}
	c.weight.Store(int64(max(weight, 1)))
	return c
}

// touch notes a request and reports whether the caller was idle before.
func (c *account) touch(now int64, activeFor time.Duration) bool {
	old := c.seenAt.Load()
	if now <= old {
		return false
	}
	return c.seenAt.CompareAndSwap(old, now) && now-old > int64(activeFor)
}

// active reports whether the caller takes part in the shares.
func (c *account) active(now int64, activeFor time.Duration) bool {
	return c.inFlight.Load() > 0 || now-c.seenAt.Load() <= int64(activeFor)
}

// interval is the time between requests of a caller that has the given weight
// of the whole at the given rate per second.
func interval(rate, weight, whole int64) time.Duration {
	return time.Duration(int64(time.Second) * whole / (rate * weight))
}
