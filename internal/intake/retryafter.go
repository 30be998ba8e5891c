package intake

import (
	"sync"
	"time"
)

// refusalGrace is the time after a refusal during which requests of the caller don't count
// as early retries, since they may have been in flight already.
const refusalGrace = 100 * time.Millisecond

// retryAfterBackoff computes the Retry-After of one caller. The delay doubles once per
// period in which the caller retried too early and is reset after a period without
// refusals. The lock is taken only for refusals.
type retryAfterBackoff struct {
	mu          sync.Mutex
	delay       time.Duration
	periodStart time.Time
	ignored     bool
}

// onRefusal records a refusal and returns its Retry-After.
func (r *retryAfterBackoff) onRefusal(now time.Time, base, maxDelay time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.periodStart)
	switch {
	case age >= 2*r.delay:
		r.startPeriod(now, base)
	case age < r.delay:
		r.ignored = r.ignored || age > refusalGrace
	case r.ignored:
		r.startPeriod(now, min(2*r.delay, maxDelay))
	default:
		r.startPeriod(now, r.delay)
	}
	return r.delay
}

func (r *retryAfterBackoff) startPeriod(now time.Time, delay time.Duration) {
	r.delay, r.periodStart, r.ignored = delay, now, false
}
