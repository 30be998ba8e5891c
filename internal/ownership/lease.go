package ownership

import (
	"slices"
	"time"
)

// forever is the lease of a host that needs nobody else's answer.
const forever = 100 * 365 * 24 * time.Hour

// publish replaces the rights by what the machine knows now.
func (m *Machine) publish(now time.Time) {
	r := &rights{
		cfg:     m.cfg,
		self:    m.self,
		views:   slices.Clone(m.views),
		since:   m.since,
		removed: m.gone,
		until:   m.leaseUntil(now),
	}
	if current := m.current(); current != nil {
		r.revision = current.last
	}
	m.rights.Store(r)
}

// leaseUntil returns until when this host may run keys: as long as, of each
// view that may be in use, more than half of the hosts answered within a lease,
// and half of them can't have worked under a view unknown here.
func (m *Machine) leaseUntil(now time.Time) time.Time {
	if m.floor == 0 || m.spanOf(m.floor) == nil {
		return time.Time{}
	}
	until := now.Add(forever)
	for _, view := range m.views {
		if end := m.leaseUnder(view, now); end.Before(until) {
			until = end
		}
	}
	return until
}

// leaseUnder returns the end of the lease under one view.
func (m *Machine) leaseUnder(view *span, now time.Time) time.Time {
	if !view.has(m.self.id) {
		return time.Time{}
	}
	var heard, clean []time.Time
	for _, member := range view.members {
		p := m.peers[member.id]
		if p == nil || !p.settled || !m.fresh(p, now) || !m.counts(p) {
			continue
		}
		heard = append(heard, p.sent)
		if m.clean(p, view, false) {
			clean = append(clean, p.sent)
		}
	}
	until := m.endOf(heard, view.majority()-1, now)
	if end := m.endOf(clean, view.half()-1, now); end.Before(until) {
		until = end
	}
	return until
}

// endOf returns until when at least need of the answers are within the lease.
func (m *Machine) endOf(sent []time.Time, need int, now time.Time) time.Time {
	if need <= 0 {
		return now.Add(forever)
	}
	if len(sent) < need {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[need-1].Add(m.cfg.Lease)
}

// counts reports whether a peer's last view is known here or older than all
// that may be in use.
func (m *Machine) counts(p *peer) bool {
	last := p.lastStep()
	return last.revision < m.floor || m.knows(last)
}

// fresh reports whether the peer answered within the lease, and not to a
// request from before a pause.
func (m *Machine) fresh(p *peer, now time.Time) bool {
	return now.Sub(p.sent) < m.cfg.Lease && p.sent.After(m.paused)
}
