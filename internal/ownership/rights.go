package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// snapshot is an immutable copy of the state that decides which keys this host may
// run.
type snapshot struct {
	cfg      Config
	self     member
	revision uint64
	// until is the end of the lease; zero means no lease.
	until time.Time
	// views are all views that may be in use: this host must own a key under each of
	// them.
	views []*span
	// completeSince is when this host's record of its own keys became complete.
	completeSince time.Time
	// removed lists hosts that may have run keys before they were removed from the
	// list.
	removed []removal
}

// removal is a host that was removed from the list.
type removal struct {
	member member
	// since is when this host learned that the removed host runs no more keys.
	since time.Time
}

// mayRun decides on a claim; nil permits the run.
func (r *snapshot) mayRun(c Claim, now time.Time) *verdict.Error {
	if !now.Before(r.until) {
		return r.refuse(verdict.ReasonNoLease)
	}
	key := xxhash.Sum64String(c.ScopedKey)
	for _, view := range r.views {
		if !r.owns(view, key, c.FencedHosts) {
			return r.refuse(verdict.ReasonNotOwner)
		}
	}
	if r.mayHaveRunElsewhere(c, key, now) {
		return r.refuse(verdict.ReasonUnknownKey)
	}
	return nil
}

// owns reports whether this host is in the view and every host that ranks before it
// there has fenced the key.
func (r *snapshot) owns(view *span, key uint64, fences []host.ID) bool {
	listed := false
	for _, m := range view.members {
		if m.id == r.self.id {
			listed = true
			continue
		}
		if ranksBefore(key, m, r.self) && !slices.Contains(fences, m.id) {
			return false
		}
	}
	return listed
}

// mayHaveRunElsewhere reports whether another process may have run the key before this
// host became the only one that may run it.
func (r *snapshot) mayHaveRunElsewhere(c Claim, key uint64, now time.Time) bool {
	since := r.completeSince
	for _, removal := range r.removed {
		if removal.since.After(since) && ranksBefore(key, removal.member, r.self) {
			since = removal.since
		}
	}
	if c.Key.Timed() {
		return !c.Key.Time.After(since.Add(r.cfg.keyMargin()))
	}
	window := c.ResendWindow
	if window <= 0 {
		window = r.cfg.ResendWindow
	}
	return now.Sub(since) < window
}

// refuse returns MayHaveRun, since this host can't know whether other hosts ran the
// key.
func (r *snapshot) refuse(reason verdict.Reason) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, reason, nil)
	e.RetryAfter = retryAfter
	e.HostListRevision = r.revision
	return e
}
