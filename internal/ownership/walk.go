package ownership

import (
	"slices"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// Failover is the sequence of hosts that an entry tries for a caller's key, in rank
// order. It moves on from a host only after that host fenced the key. It must be used
// by one goroutine only.
type Failover struct {
	scopedKey string
	revision  uint64
	ranked    []host.ID
	fenced    []host.ID
}

// NewFailover returns a Failover that starts at the key's owner in a view.
func NewFailover(scopedKey string, v View) *Failover {
	return &Failover{scopedKey: scopedKey, revision: v.Revision, ranked: Rank(scopedKey, v.Hosts)}
}

// Next returns the host to try next, or false if every host fenced the key.
func (f *Failover) Next() (host.ID, bool) {
	for _, id := range f.ranked {
		if !slices.Contains(f.fenced, id) {
			return id, true
		}
	}
	return "", false
}

// FencedHosts returns the hosts that fenced the key, to be sent with the request.
func (f *Failover) FencedHosts() []host.ID {
	return slices.Clone(f.fenced)
}

// RecordRefusal records a gate's refusal and reports whether the host from Next should
// be tried. If not, the refusal is final. If NeedsView reports true, call SetView
// first.
func (f *Failover) RecordRefusal(from host.ID, e *verdict.Error) bool {
	if !e.Fenced {
		return false
	}
	f.fenced = append(f.fenced, from)
	_, more := f.Next()
	return more
}

// NeedsView reports whether the refusal shows that the gate has a newer host list,
// with which it might not refuse the request.
func (f *Failover) NeedsView(e *verdict.Error) bool {
	return e.Reason == verdict.ReasonNotOwner && e.HostListRevision > f.revision
}

// SetView continues with a newer view; the recorded fences stay valid.
func (f *Failover) SetView(v View) {
	if v.Revision <= f.revision {
		return
	}
	f.revision = v.Revision
	f.ranked = Rank(f.scopedKey, v.Hosts)
}

// UnreachableError returns the final refusal when the host returned by Next can't be
// reached: an earlier attempt with the same key may have run there.
func (f *Failover) UnreachableError(cause error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonUnreachable, cause)
	e.RetryAfter = retryAfter
	return e
}
