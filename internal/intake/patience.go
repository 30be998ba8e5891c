package intake

import (
	"sync"
	"time"
)

// refusalGrace is the time after a refusal in which further requests may have
// been under way already and don't count as ignoring it.
const refusalGrace = 100 * time.Millisecond

// patience computes the Retry-After of one caller. It doubles once for each
// period in which the caller came back too early, and starts anew after a
// period without refusals. Its lock is taken only for refusals.
type patience struct {
	mu      sync.Mutex
	wait    time.Duration
	since   time.Time
	ignored bool
}

// refused returns the Retry-After of a refusal now.
func (p *patience) refused(now time.Time, base, most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := now.Sub(p.since)
	switch {
	case p.wait == 0 || age >= 2*p.wait && !p.ignored || age >= 2*most:
		p.restart(now, base)
	case age < p.wait:
		p.ignored = p.ignored || age > refusalGrace
	case p.ignored:
		p.restart(now, min(2*p.wait, most))
	default:
		p.restart(now, p.wait)
	}
	return p.wait
}

func (p *patience) restart(now time.Time, wait time.Duration) {
	p.wait, p.since, p.ignored = wait, now, false
}
