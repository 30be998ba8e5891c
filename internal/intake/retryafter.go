package intake

import (
	"sync"
	"time"
)

// refusalGrace is the time after a refusal in which further requests may have
// been under way already and don't count as ignoring it.
const refusalGrace = 100 * time.Millisecond

// retryAfterBackoff computes the Retry-After of one caller. It doubles once for each
// period in which the caller came back too early, and starts anew after a
// period without refusals. Its lock is taken only for refusals.
type retryAfterBackoff struct {
	mu          sync.Mutex
	delay       time.Duration
	periodStart time.Time
	ignored     bool
}

// onRefusal returns the Retry-After of a refusal now.
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
