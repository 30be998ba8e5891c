package intake

import (
	"sync"
	"time"
)

// refusalGrace is the time after a refusal in which further requests may have
// been under way already and don't count as ignoring it.
const refusalGrace = 100 * time.Millisecond

// retryAfter computes the Retry-After of one caller. It doubles once for each
// period in which the caller came back too early, and starts anew after a
// period without refusals. Its lock is taken only for refusals.
type retryAfter struct {
	mu      sync.Mutex
	wait    time.Duration
	since   time.Time
	ignored bool
}

// refused returns the Retry-After of a refusal now.
func (r *retryAfter) refused(now time.Time, base, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.since)
	switch {
	case age >= 2*r.wait:
		r.restart(now, base)
	case age < r.wait:
		r.ignored = r.ignored || age > refusalGrace
	case r.ignored:
		r.restart(now, min(2*r.wait, most))
	default:
		r.restart(now, r.wait)
	}
	return r.wait
}

func (r *retryAfter) restart(now time.Time, wait time.Duration) {
	r.wait, r.since, r.ignored = wait, now, false
}
