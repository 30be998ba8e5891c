package sidecar

import (
	"time"

	"boragefall/internal/contract"
)

// limitTracker derives the limit in force from the limits that a server states in its
// answers. An answer without a limit ends it.
type limitTracker struct {
	current contract.RateLimit
	// since is when the current limit was first observed.
	since time.Time
	// observedAt is the time of the latest answer to a request.
	observedAt time.Time
	// answered reports that the server answered a request, so that its limit is known.
	answered bool
	// inHealthAnswers reports that the server states its limit in the answers to health
	// checks, too, so that one without a limit ends it.
	inHealthAnswers bool
}

// observe records the limit in the answer to a request that was sent at sentAt. It reports
// whether the limit in force changed. Answers on different connections overtake each
// other, so the answer to a request sent before the current limit was observed can lower
// the limit, but neither raise nor end it.
func (t *limitTracker) observe(stated contract.RateLimit, sentAt, now time.Time) (changed bool) {
	t.answered, t.observedAt = true, now
	if sentAt.Before(t.since) && !stated.LowerThan(t.current) {
		return false
	}
	return t.set(stated, now)
}

// observeHealth records the limit in the answer to a health check.
func (t *limitTracker) observeHealth(stated contract.RateLimit, now time.Time) (changed bool) {
	if !stated.Stated && !t.inHealthAnswers {
		return false
	}
	t.inHealthAnswers = true
	return t.set(stated, now)
}

// adopt records a limit that an entry observed. It has no effect once the server has
// answered a request of this process.
func (t *limitTracker) adopt(stated contract.RateLimit, now time.Time) (changed bool) {
	return !t.answered && stated.LowerThan(t.current) && t.set(stated, now)
}

// reset forgets everything, because another incarnation of the server is in place.
func (t *limitTracker) reset() (changed bool) {
	changed = t.current.Stated
	*t = limitTracker{}
	return changed
}

func (t *limitTracker) set(limit contract.RateLimit, now time.Time) (changed bool) {
	if limit == t.current {
		return false
	}
	t.current, t.since = limit, now
	return true
}
