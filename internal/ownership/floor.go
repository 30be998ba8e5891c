package ownership

import (
	"slices"
	"time"
)

// advance processes a new input: it raises the floor as far as allowed and publishes a
// new snapshot.
func (m *StateMachine) advance(now time.Time) {
	m.publish(now)
	if m.current() == nil {
		return
	}
	m.dropOldViews(now)
	if m.floor == 0 {
		m.bootstrapFloor(now)
	} else {
		m.raiseFloor(now)
	}
	for _, p := range m.peers {
		p.prune(m.floor)
	}
	m.publish(now)
}

// bootstrapFloor sets the first floor of a process that has none.
func (m *StateMachine) bootstrapFloor(now time.Time) {
	current := m.current()
	floor := m.peerFloor()
	switch {
	case floor > 0 && m.settledPeers(current, now) >= current.quorum():
	case m.fullContact(current, now):
		if floor == 0 {
			floor = current.first // every listed process reports that it has none
		}
	case m.horizonPassed(current, now):
		floor = max(floor, current.first)
	default:
		return
	}
	m.setFloor(floor, now)
}

// raiseFloor adopts the highest floor reported by a peer, or one that this host proves
// itself.
func (m *StateMachine) raiseFloor(now time.Time) {
	if floor := m.peerFloor(); floor > m.floor {
		m.setFloor(floor, now)
	}
	if m.spanAt(m.floor) == nil && m.horizonPassed(m.current(), now) {
		// The hosts of the floor's view are unknown here, and no peer raised the floor.
		m.setFloor(m.current().first, now)
		return
	}
	for _, revision := range m.candidateRevisions() {
		if m.floorProven(revision, now) {
			m.setFloor(revision, now)
			return
		}
	}
}

// setFloor raises the floor. Unless it is certain that no gate worked under a view
// unknown to this host, all keys created before now are given up.
func (m *StateMachine) setFloor(floor uint64, now time.Time) {
	if floor <= m.floor {
		return
	}
	if !m.noUnknownViews(floor, now) {
		m.completeSince = now
	}
	m.floor = floor
	m.dropOldViews(now)
}

// noUnknownViews reports whether every floor between the current one and the given one
// was raised from views known to this host.
func (m *StateMachine) noUnknownViews(floor uint64, now time.Time) bool {
	start, target := m.spanAt(m.floor), m.spanAt(floor)
	if m.floor == 0 || start == nil || target == nil {
		return false
	}
	for _, view := range m.views {
		if view.first > floor || view == target && view != start {
			break
		}
		if m.verifiedMembers(view, now) < view.blockingCount() {
			return false
		}
	}
	return true
}

// verified reports whether it is certain that a peer did not work under a view that is
// later than both the given view and the floor, and unknown to this host.
func (m *StateMachine) verified(p *peer, view *span, acceptRestarted bool) bool {
	return p.continuous(max(view.first, m.floor), m.cfg.Lease, m.knows, acceptRestarted)
}

// verifiedMembers counts the members, this host included, that are in contact and
// certain not to have worked under a view unknown to this host.
func (m *StateMachine) verifiedMembers(view *span, now time.Time) int {
	count := 0
	for _, member := range view.members {
		p := m.peers[member.id]
		if member.id == m.self.id || m.presumedStopped(member, now) {
			count++
		} else if p != nil && p.settled && m.inContact(p, now) && m.verified(p, view, false) {
			count++
		}
	}
	return count
}

// dropOldViews drops the views before the floor, except the current one. If this host
// was not a member of one of them, another host may have run keys there, so this
// host's record of keys is complete only from now on.
func (m *StateMachine) dropOldViews(now time.Time) {
	kept := m.views
	for len(kept) > 1 && kept[0].last < m.floor {
		kept = kept[1:]
	}
	for _, view := range m.views[:len(m.views)-len(kept)] {
		if !view.hasMember(m.self.id) {
			m.completeSince = now
		}
		m.recordRemoved(view, kept, now)
	}
	m.views = slices.Clone(kept)
	m.expireRemoved(now)
}

// recordRemoved records the hosts that are not in any kept view.
func (m *StateMachine) recordRemoved(dropped *span, kept []*span, now time.Time) {
	for _, member := range dropped.members {
		if slices.ContainsFunc(kept, func(v *span) bool { return v.hasMember(member.id) }) {
			continue
		}
		m.removed = append(slices.Clone(m.removed), removal{member: member, since: now})
	}
}

// expireRemoved drops removals that are so old that every key of the removed host is
// past the horizon.
func (m *StateMachine) expireRemoved(now time.Time) {
	retention := m.cfg.Horizon + 2*m.cfg.keyMargin()
	m.removed = slices.DeleteFunc(slices.Clone(m.removed), func(r removal) bool { return now.Sub(r.since) > retention })
}

// candidateRevisions returns the revisions that the floor could be raised to, highest
// first.
func (m *StateMachine) candidateRevisions() []uint64 {
	var out []uint64
	for _, view := range m.views {
		out = append(out, view.first, view.last)
	}
	for _, p := range m.peers {
		out = append(out, p.lastReport().revision)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	slices.Reverse(out)
	return slices.DeleteFunc(out, func(r uint64) bool { return r <= m.floor })
}

// floorProven reports whether no gate can work under a view before revision: in each
// known view from the floor up to it, more than half of the hosts have held the
// revision's set of hosts for a whole lease.
func (m *StateMachine) floorProven(revision uint64, now time.Time) bool {
	target := m.spanAt(revision)
	if target == nil || m.spanAt(m.floor) == nil {
		return false
	}
	fullContact := m.fullContact(target, now)
	// By now the list has dropped any gate that worked under a view skipped here.
	horizonPassed := now.Sub(target.since) >= m.cfg.Horizon
	for _, view := range m.views {
		if view.first > revision {
			break
		}
		acks, verified := m.acks(view, target, revision, fullContact, now)
		if acks < view.quorum() || verified < view.blockingCount() && !horizonPassed {
			return false
		}
	}
	return true
}

// acks counts the members of a view that acknowledge a revision, and those of them
// that are verified. With fullContact, restarted processes are assumed to have started
// with a view no older than any in use.
func (m *StateMachine) acks(view, target *span, revision uint64, fullContact bool, now time.Time) (acks, verified int) {
	for _, member := range view.members {
		if member.id == m.self.id {
			if target == m.current() && now.Sub(target.since) >= m.leaseWithMargin() {
				acks++
				verified++
			}
			continue
		}
		if m.presumedStopped(member, now) {
			acks++
			verified++
			continue
		}
		p := m.peers[member.id]
		if !m.acknowledges(p, target, revision) {
			continue
		}
		acks++
		if m.verified(p, view, fullContact) {
			verified++
		}
	}
	return acks, verified
}

// acknowledges reports whether a peer has held the target's set of hosts for a whole
// lease and has reached the revision.
func (m *StateMachine) acknowledges(p *peer, target *span, revision uint64) bool {
	if p == nil || !p.settled || p.lastReport().revision < revision || !m.knows(p.lastReport()) {
		return false
	}
	since, ok := p.heldSince(target.hash, m.cfg.Lease)
	return ok && p.sent.Sub(since) >= m.leaseWithMargin()
}

// presumedStopped reports whether a host was removed from the list at least a horizon
// ago.
func (m *StateMachine) presumedStopped(subject member, now time.Time) bool {
	var since time.Time
	for _, view := range m.views {
		if view.hasMember(subject.id) {
			since = time.Time{}
		} else if since.IsZero() {
			since = view.since
		}
	}
	return !since.IsZero() && now.Sub(since) >= m.cfg.Horizon
}

func (m *StateMachine) spanAt(revision uint64) *span {
	for _, view := range m.views {
		if view.first <= revision && revision <= view.last {
			return view
		}
	}
	return nil
}

// peerFloor returns the highest floor reported by a peer.
func (m *StateMachine) peerFloor() uint64 {
	var floor uint64
	for _, p := range m.peers {
		floor = max(floor, p.floor)
	}
	return floor
}

func (m *StateMachine) leaseWithMargin() time.Duration {
	return m.cfg.Lease + leaseMargin
}

// settledPeers counts the other members that have been settled and in contact for a
// whole lease.
func (m *StateMachine) settledPeers(view *span, now time.Time) int {
	count := 0
	for _, member := range view.members {
		p := m.peers[member.id]
		if p == nil || !p.settled || !m.inContact(p, now) || !m.knows(p.lastReport()) {
			continue
		}
		if p.sent.Sub(p.settledSince) >= m.leaseWithMargin() {
			count++
		}
	}
	return count
}

// fullContact reports whether every host of a view, this one included, has held it for
// the bootstrap wait.
func (m *StateMachine) fullContact(view *span, now time.Time) bool {
	if view != m.current() || now.Sub(view.since) < m.cfg.BootstrapWait || now.Sub(m.bootTime) < m.cfg.BootstrapWait {
		return false
	}
	for _, member := range view.members {
		if member.id == m.self.id {
			continue
		}
		p := m.peers[member.id]
		if p == nil || !m.inContact(p, now) {
			return false
		}
		since, ok := p.heldSince(view.hash, m.cfg.Lease)
		if !ok || p.sent.Sub(since) < m.cfg.BootstrapWait {
			return false
		}
	}
	return true
}

// horizonPassed reports whether this host has held the view for a horizon and more
// than half of its hosts are in contact.
func (m *StateMachine) horizonPassed(view *span, now time.Time) bool {
	if now.Sub(view.since) < m.cfg.Horizon {
		return false
	}
	count := 0
	for _, member := range view.members {
		p := m.peers[member.id]
		if member.id == m.self.id || (p != nil && m.inContact(p, now) && m.knows(p.lastReport())) {
			count++
		}
	}
	return count >= view.quorum()
}
