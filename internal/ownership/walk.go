package ownership

import (
	"slices"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// Failover is an entry's way of a caller's key along the ranked hosts of a service.
// It leaves a host only after that host fenced the key. It is used by one
// goroutine.
type Failover struct {
	scopedKey string
	revision  uint64
	ranked    []host.ID
	fenced    []host.ID
}

// NewFailover returns a walk that starts at the key's owner in a view.
func NewFailover(scopedKey string, v View) *Failover {
	return &Failover{scopedKey: scopedKey, revision: v.Revision, ranked: Rank(scopedKey, v.Hosts)}
}

// Next returns the host to ask, or false when every host fenced the key.
func (w *Failover) Next() (host.ID, bool) {
	for _, id := range w.ranked {
		if !slices.Contains(w.fenced, id) {
			return id, true
		}
	}
	return "", false
}

// FencedHosts returns the hosts that fenced the key, to send along.
func (w *Failover) FencedHosts() []host.ID {
	return slices.Clone(w.fenced)
}

// RecordRefusal takes a gate's refusal and reports whether Next is to be asked. When
// it is not, the refusal is final. A gate that is not the owner in a newer view
// calls for SetView first.
func (w *Failover) RecordRefusal(from host.ID, e *verdict.Error) bool {
	if !e.Fenced {
		return false
	}
	w.fenced = append(w.fenced, from)
	_, more := w.Next()
	return more
}

// NeedsView reports whether the refusal shows that the gate knows a newer host
// list, with which it would refuse less.
func (w *Failover) NeedsView(e *verdict.Error) bool {
	return e.Reason == verdict.ReasonNotOwner && e.HostListRevision > w.revision
}

// SetView goes on with a newer view; the fences stay good.
func (w *Failover) SetView(v View) {
	if v.Revision <= w.revision {
		return
	}
	w.revision = v.Revision
	w.ranked = Rank(w.scopedKey, v.Hosts)
}

// UnreachableError is the final refusal when the host that Next named can't be
// reached: an earlier try of the same key may have run there.
func (w *Failover) UnreachableError(cause error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonUnreachable, cause)
	e.RetryAfter = retryAfter
	return e
}
