package ownership

import (
	"slices"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// Walk is an entry's way of a caller's key along the ranked hosts of a service.
// It leaves a host only after that host fenced the key. It is used by one
// goroutine.
type Walk struct {
	scoped   string
	revision uint64
	ranked   []host.ID
	fences   []host.ID
}

// NewWalk returns a walk that starts at the key's owner in a view.
func NewWalk(scoped string, v View) *Walk {
	return &Walk{scoped: scoped, revision: v.Revision, ranked: Rank(scoped, v.Hosts)}
}

// Next returns the host to ask, or false when every host fenced the key.
func (w *Walk) Next() (host.ID, bool) {
	for _, id := range w.ranked {
		if !slices.Contains(w.fences, id) {
			return id, true
		}
	}
	return "", false
}

// Fences returns the hosts that fenced the key, to send along.
func (w *Walk) Fences() []host.ID {
	return slices.Clone(w.fences)
}

// Refused takes a gate's refusal and reports whether Next is to be asked. When
// it is not, the refusal is final. A gate that is not the owner in a newer view
// calls for SetView first.
func (w *Walk) Refused(from host.ID, e *verdict.Error) bool {
	if !e.Fenced {
		return false
	}
	w.fences = append(w.fences, from)
	_, more := w.Next()
	return more
}

// WantsView reports whether the refusal shows that the gate knows a newer host
// list, with which it would refuse less.
func (w *Walk) WantsView(e *verdict.Error) bool {
	return e.Reason == verdict.ReasonNotOwner && e.HostListRevision > w.revision
}

// SetView goes on with a newer view; the fences stay good.
func (w *Walk) SetView(v View) {
	if v.Revision <= w.revision {
		return
	}
	w.revision = v.Revision
	w.ranked = Rank(w.scoped, v.Hosts)
}

// Unreachable is the final refusal when the host that Next named can't be
// reached: an earlier try of the same key may have run there.
func (w *Walk) Unreachable(cause error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonUnreachable, cause)
	e.RetryAfter = retryAfter
	return e
}
