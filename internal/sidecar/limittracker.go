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
}

// observe records the limit in the answer to a request that was sent at sentAt. It reports
// whether the limit in force changed. Answers on different connections overtake each
// other, so the answer to a request sent before the current limit was observed can lower
// the limit, but neither raise nor end it.
func (t *limitTracker) observe(stated contract.RateLimit, sentAt, now time.Time) (changed bool) {
	if stated == t.current || sentAt.Before(t.since) && !stated.LowerThan(t.current) {
		return false
	}
	t.current, t.since = stated, now
	return true
}
