package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// snapshot is an immutable snapshot of what this host may run.
type snapshot struct {
	cfg      Config
	self     member
	revision uint64
	// until is the end of the lease; zero is no lease.
	until time.Time
	// views are all views that may be in use: a key needs the right under each.
	views []*span
	// completeSince is when this host's memory of its own keys began.
	completeSince time.Time
	// removed holds hosts that may have run keys before they left the list.
	removed []removal
}

// removal is a host that the list dropped.
type removal struct {
	member member
	// since is when this host knew that the dropped host runs nothing more.
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

// owns reports whether this host is in the view and every host that ranks
// above it there has fenced the key.
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
// host became the only one that may.
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

// refuse returns MayHaveRun: this host can't speak for the others.
func (r *snapshot) refuse(reason verdict.Reason) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, reason, nil)
	e.RetryAfter = retryAfter
	e.HostListRevision = r.revision
	return e
}
