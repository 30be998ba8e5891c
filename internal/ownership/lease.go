package ownership

import (
	"slices"
	"time"
)

// unboundedLease is the lease of a host that needs no answer from other hosts.
const unboundedLease = 100 * 365 * 24 * time.Hour

// publish replaces the snapshot with one of the current state.
func (m *StateMachine) publish(now time.Time) {
	r := &snapshot{
		cfg:           m.cfg,
		self:          m.self,
		views:         slices.Clone(m.views),
		completeSince: m.completeSince,
		removed:       m.removed,
		until:         m.leaseUntil(now),
	}
	if current := m.current(); current != nil {
		r.revision = current.last
	}
	m.snapshot.Store(r)
}

// leaseUntil returns until when this host may run keys. In each view that may be in
// use, more than half of the hosts must have answered within a lease, and at least
// half must be verified; this host counts among them.
func (m *StateMachine) leaseUntil(now time.Time) time.Time {
	if m.floor == 0 || m.spanAt(m.floor) == nil {
		return time.Time{}
	}
	until := now.Add(unboundedLease)
	for _, view := range m.views {
		if end := m.leaseUnderView(view, now); end.Before(until) {
			until = end
		}
	}
	return until
}

// leaseUnderView returns the end of the lease under one view.
func (m *StateMachine) leaseUnderView(view *span, now time.Time) time.Time {
	if !view.hasMember(m.self.id) {
		return time.Time{}
	}
	var contacts, verifiedContacts []time.Time
	for _, member := range view.members {
		p := m.peers[member.id]
		if p == nil || !p.settled || !m.inContact(p, now) || !m.countsTowardLease(p) {
			continue
		}
		contacts = append(contacts, p.sent)
		if m.verified(p, view, false) {
			verifiedContacts = append(verifiedContacts, p.sent)
		}
	}
	until := m.leaseEnd(contacts, view.quorum()-1, now)
	if end := m.leaseEnd(verifiedContacts, view.blockingCount()-1, now); end.Before(until) {
		until = end
	}
	return until
}

// leaseEnd returns until when at least required of the answers are within the lease.
func (m *StateMachine) leaseEnd(sent []time.Time, required int, now time.Time) time.Time {
	if required <= 0 {
		return now.Add(unboundedLease)
	}
	if len(sent) < required {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[required-1].Add(m.cfg.Lease)
}

// countsTowardLease reports whether a peer's last reported view is known here or older
// than all views that may be in use.
func (m *StateMachine) countsTowardLease(p *peer) bool {
	last := p.lastReport()
	return last.revision < m.floor || m.knows(last)
}

// inContact reports whether the peer answered within the lease a request sent after
// the last pause of this process.
func (m *StateMachine) inContact(p *peer, now time.Time) bool {
	return now.Sub(p.sent) < m.cfg.Lease && p.sent.After(m.pausedAt)
}
