package intake

import (
	"sync/atomic"
	"time"
)

// callerState is what the entry knows of one caller, or of all unlisted callers
// together. The path of a request uses its atomics only.
type callerState struct {
	weight     atomic.Int64
	inFlight   atomic.Int64
	lastSeen   atomic.Int64 // Unix nanoseconds
	rate       rateLimit
	retryAfter retryAfterBackoff
}

func newCallerState(weight int) *callerState {
	c := &callerState{}
	c.weight.Store(int64(max(weight, 1)))
	return c
}

// markSeen notes a request and reports whether the caller was idle before.
func (c *callerState) markSeen(now int64, activeWindow time.Duration) bool {
	old := c.lastSeen.Load()
	if now <= old {
		return false
	}
	return c.lastSeen.CompareAndSwap(old, now) && now-old > int64(activeWindow)
}

// active reports whether the caller takes part in the shares.
func (c *callerState) active(now int64, activeWindow time.Duration) bool {
	return c.inFlight.Load() > 0 || now-c.lastSeen.Load() <= int64(activeWindow)
}

// interval is the time between requests of a caller that has the given weight
// of the totalWeight at the given rate per second.
func interval(rate, weight, totalWeight int64) time.Duration {
	return time.Duration(int64(time.Second) * totalWeight / (rate * weight))
}
