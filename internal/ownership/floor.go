package ownership

import (
	"slices"
	"time"
)

// advance draws the conclusions of a new input: the floor rises as far as it
// may, and the rights are published anew.
func (m *Machine) advance(now time.Time) {
	m.publish(now)
	if m.current() == nil {
		return
	}
	m.trim(now)
	if m.floor == 0 {
		m.settle(now)
	} else {
		m.raise(now)
	}
	for _, p := range m.peers {
		p.prune(m.floor)
	}
	m.publish(now)
}

// settle finds a first floor for a process that knows none.
func (m *Machine) settle(now time.Time) {
	current := m.current()
	floor := m.peerFloor()
	switch {
	case floor > 0 && m.settledPeers(current, now) >= current.majority():
	case m.wholeContact(current, now):
		if floor == 0 {
			floor = current.first // every listed process is known to have none
		}
	case m.horizonPassed(current, now):
		floor = max(floor, current.first)
	default:
		return
	}
	m.setFloor(floor, now)
}

// raise adopts the highest floor of a peer, or proves a higher one.
func (m *Machine) raise(now time.Time) {
	if floor := m.peerFloor(); floor > m.floor {
		m.setFloor(floor, now)
	}
	if m.spanOf(m.floor) == nil && m.horizonPassed(m.current(), now) {
		// The hosts of the floor's view are unknown here, and nobody raised it.
		m.setFloor(m.current().first, now)
		return
	}
	for _, revision := range m.candidates() {
		if m.proves(revision, now) {
			m.setFloor(revision, now)
			return
		}
	}
}

// setFloor raises the floor. Unless no gate can have worked under a view that
// this host doesn't know, it forgoes all keys made before.
func (m *Machine) setFloor(floor uint64, now time.Time) {
	if floor <= m.floor {
		return
	}
	if !m.nothingHidden(floor, now) {
		m.since = now
	}
	m.floor = floor
	m.trim(now)
}

// nothingHidden reports whether every floor between the present one and the
// given one was raised from views known here.
func (m *Machine) nothingHidden(floor uint64, now time.Time) bool {
	start, target := m.spanOf(m.floor), m.spanOf(floor)
	if m.floor == 0 || start == nil || target == nil {
		return false
	}
	for _, view := range m.views {
		if view.first > floor || view == target && view != start {
			break
		}
		if m.cleanMembers(view, now) < view.half() {
			return false
		}
	}
	return true
}

// clean reports whether a peer can't have worked under a view later than the
// given one, and than the floor, that this host doesn't know.
func (m *Machine) clean(p *peer, view *span, trusted bool) bool {
	return p.unbroken(max(view.first, m.floor), m.cfg.Lease, m.knows, trusted)
}

// cleanMembers counts the members, this host included, that are in contact and
// can't have worked under a view that this host doesn't know.
func (m *Machine) cleanMembers(view *span, now time.Time) int {
	count := 0
	for _, member := range view.members {
		p := m.peers[member.id]
		if member.id == m.self.id || m.stopped(member, now) {
			count++
		} else if p != nil && p.settled && m.fresh(p, now) && m.clean(p, view, false) {
			count++
		}
	}
	return count
}

// trim drops the views before the floor, besides the current one, and notes
// from when on this host may speak for keys that others may have run there.
func (m *Machine) trim(now time.Time) {
	kept := m.views
	for len(kept) > 1 && kept[0].last < m.floor {
		kept = kept[1:]
	}
	for _, view := range m.views[:len(m.views)-len(kept)] {
		if !view.has(m.self.id) {
			m.since = now
		}
		m.noteRemoved(view, kept, now)
	}
	m.views = slices.Clone(kept)
	m.forgetRemoved(now)
}

// noteRemoved records the hosts that no kept view names.
func (m *Machine) noteRemoved(dropped *span, kept []*span, now time.Time) {
	for _, member := range dropped.members {
		if slices.ContainsFunc(kept, func(v *span) bool { return v.has(member.id) }) {
			continue
		}
		m.gone = append(slices.Clone(m.gone), removal{member: member, since: now})
	}
}

// forgetRemoved drops removals so old that every key of theirs is beyond the
// horizon.
func (m *Machine) forgetRemoved(now time.Time) {
	keep := m.cfg.Horizon + 2*m.cfg.keyMargin()
	m.gone = slices.DeleteFunc(slices.Clone(m.gone), func(r removal) bool { return now.Sub(r.since) > keep })
}

// candidates returns the revisions that the floor might rise to, highest first.
func (m *Machine) candidates() []uint64 {
	var out []uint64
	for _, view := range m.views {
		out = append(out, view.first, view.last)
	}
	for _, p := range m.peers {
		out = append(out, p.lastStep().revision)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	slices.Reverse(out)
	return slices.DeleteFunc(out, func(r uint64) bool { return r <= m.floor })
}

// proves reports whether no gate can work under a view before revision: of each
// known view from the floor to it, more than half of the hosts have held the
// revision's set of hosts for a whole lease.
func (m *Machine) proves(revision uint64, now time.Time) bool {
	target := m.spanOf(revision)
	if target == nil || m.spanOf(m.floor) == nil {
		return false
	}
	whole := m.wholeContact(target, now)
	// A gate under a view that this host skipped has left the list by now.
	old := now.Sub(target.since) >= m.cfg.Horizon
	for _, view := range m.views {
		if view.first > revision {
			break
		}
		acks, clean := m.acks(view, target, revision, whole, now)
		if acks < view.majority() || clean < view.half() && !old {
			return false
		}
	}
	return true
}

// acks counts the members of a view that acknowledge a revision, and those of
// them that can't have worked under a view that this host doesn't know. In
// contact with the whole view, restarted processes are trusted to have come up
// on a view no older than any in use.
func (m *Machine) acks(view, target *span, revision uint64, whole bool, now time.Time) (acks, clean int) {
	for _, member := range view.members {
		if member.id == m.self.id {
			if target == m.current() && now.Sub(target.since) >= m.settleTime() {
				acks++
				clean++
			}
			continue
		}
		if m.stopped(member, now) {
			acks++
			clean++
			continue
		}
		p := m.peers[member.id]
		if !m.acknowledges(p, target, revision) {
			continue
		}
		acks++
		if m.clean(p, view, whole) {
			clean++
		}
	}
	return acks, clean
}

// acknowledges reports whether a peer has held the target's set of hosts for a
// whole lease and has reached the revision.
func (m *Machine) acknowledges(p *peer, target *span, revision uint64) bool {
	if p == nil || !p.settled || p.lastStep().revision < revision || !m.knows(p.lastStep()) {
		return false
	}
	since, ok := p.heldSince(target.hash, m.cfg.Lease)
	return ok && p.sent.Sub(since) >= m.settleTime()
}

// stopped reports whether a host left the list so long ago that it counts as
// stopped.
func (m *Machine) stopped(who member, now time.Time) bool {
	var since time.Time
	for _, view := range m.views {
		if view.has(who.id) {
			since = time.Time{}
		} else if since.IsZero() {
			since = view.since
		}
	}
	return !since.IsZero() && now.Sub(since) >= m.cfg.Horizon
}

func (m *Machine) spanOf(revision uint64) *span {
	for _, view := range m.views {
		if view.first <= revision && revision <= view.last {
			return view
		}
	}
	return nil
}

// peerFloor returns the highest floor that a peer reported.
func (m *Machine) peerFloor() uint64 {
	var floor uint64
	for _, p := range m.peers {
		floor = max(floor, p.floor)
	}
	return floor
}

func (m *Machine) settleTime() time.Duration {
	return m.cfg.Lease + settleMargin
}

// settledPeers counts the other members that have been settled and in contact
// for a whole lease.
func (m *Machine) settledPeers(view *span, now time.Time) int {
	count := 0
	for _, member := range view.members {
		p := m.peers[member.id]
		if p == nil || !p.settled || !m.fresh(p, now) || !m.knows(p.lastStep()) {
			continue
		}
		if p.sent.Sub(p.settledSince) >= m.settleTime() {
			count++
		}
	}
	return count
}

// wholeContact reports whether every host of a view has held it for the
// bootstrap wait, this one included.
func (m *Machine) wholeContact(view *span, now time.Time) bool {
	if view != m.current() || now.Sub(view.since) < m.cfg.BootstrapWait || now.Sub(m.boot) < m.cfg.BootstrapWait {
		return false
	}
	for _, member := range view.members {
		if member.id == m.self.id {
			continue
		}
		p := m.peers[member.id]
		if p == nil || !m.fresh(p, now) {
			return false
		}
		since, ok := p.heldSince(view.hash, m.cfg.Lease)
		if !ok || p.sent.Sub(since) < m.cfg.BootstrapWait {
			return false
		}
	}
	return true
}

// horizonPassed reports whether the view is a horizon old here and more than
// half of its hosts are in contact.
func (m *Machine) horizonPassed(view *span, now time.Time) bool {
	if now.Sub(view.since) < m.cfg.Horizon {
		return false
	}
	count := 0
	for _, member := range view.members {
		p := m.peers[member.id]
		if member.id == m.self.id || (p != nil && m.fresh(p, now) && m.knows(p.lastStep())) {
			count++
		}
	}
	return count >= view.majority()
}
