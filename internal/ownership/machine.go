package ownership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// StateMachine tracks which keys the gate of this host may run for its service. Its
// inputs are serialised by a lock; MayRun reads one atomic pointer.
type StateMachine struct {
	cfg      Config
	self     member
	bootTime time.Time

	mu sync.Mutex
	// views are the known views from the floor on, oldest first.
	views []*span
	// floor is a revision such that no gate works under an older one; 0 is unknown.
	floor         uint64
	peers         map[host.ID]*peer
	pausedAt      time.Time
	completeSince time.Time
	removed       []removal

	snapshot atomic.Pointer[snapshot]
}

// New returns a state machine without a view for a process that started at bootTime.
func New(cfg Config, self host.ID, bootTime time.Time) *StateMachine {
	m := &StateMachine{
		cfg:      cfg.withDefaults(),
		self:     newMember(self),
		bootTime: bootTime,
		peers:    make(map[host.ID]*peer),
	}
	m.publish(bootTime)
	return m
}

// SetView sets the host list. An older list, or one of revision 0, is ignored.
func (m *StateMachine) SetView(v View, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newSpan(v, now)
	current := m.current()
	switch {
	case v.Revision == 0 || current != nil && v.Revision <= current.last:
		return
	case current != nil && current.hash == next.hash:
		m.extendCurrent(v.Revision)
	default:
		m.views = append(slices.Clone(m.views), next)
	}
	m.advance(now)
}

// HeartbeatReceived processes the answer to a heartbeat of this host. The answer
// proves the state of its sender at some time after sent, so a late answer can't
// extend a lease.
func (m *StateMachine) HeartbeatReceived(h Heartbeat, sent, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Host == m.self.id || h.ViewRevision == 0 || h.HasFloor && h.Floor == 0 {
		return // a settled host has a floor; a heartbeat without one is malformed
	}
	m.adoptPeerRevision(h)
	p := m.peers[h.Host]
	switch {
	case p == nil || h.Boot > p.bootMillis:
		p = &peer{bootMillis: h.Boot}
		m.peers[h.Host] = p
	case h.Boot < p.bootMillis || !sent.After(p.sent) || h.ViewRevision < p.lastReport().revision:
		return // from an older process, or overtaken by a later answer
	}
	p.addReport(h, sent, now)
	m.advance(now)
}

// Heartbeat returns this host's current heartbeat, for requests and answers. It must
// be called at least once a second even if there are no peers, since the floor also
// rises with time.
func (m *StateMachine) Heartbeat(now time.Time) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	h := Heartbeat{Host: m.self.id, Boot: m.bootTime.UnixMilli(), Floor: m.floor, HasFloor: m.floor > 0}
	if current := m.current(); current != nil {
		h.ViewRevision = current.last
		h.ViewHash = current.hash
		h.SetSince = current.first
	}
	return h
}

// Peers returns the hosts to send heartbeats to: the hosts of every view that may be
// in use, including removed ones.
func (m *StateMachine) Peers() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []host.ID
	seen := map[host.ID]bool{m.self.id: true}
	for _, view := range m.views {
		for _, member := range view.members {
			if !seen[member.id] {
				seen[member.id] = true
				out = append(out, member.id)
			}
		}
	}
	return out
}

// Paused records that the process was suspended: answers to requests sent before now
// prove nothing.
func (m *StateMachine) Paused(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pausedAt = now
	m.publish(now)
}

// MayRun returns nil if this host may run the key now. It must be called again, with
// the current time, just before the request is passed to the server. The error is
// MayHaveRun, since this host can't know whether others ran the key.
func (m *StateMachine) MayRun(c Claim, now time.Time) *verdict.Error {
	if c.Key.Minted {
		// Only the process that generated the key knows it, and it sends the key to
		// one gate at a time, so no other gate can run it.
		return nil
	}
	return m.snapshot.Load().mayRun(c, now)
}

// Refusal returns the refusal to send for a key that this gate rejects for another
// reason, such as overload. It stays NotRun only while the gate may still run the key:
// only then does it know that no other gate ran it.
func (m *StateMachine) Refusal(c Claim, refusal *verdict.Error, now time.Time) *verdict.Error {
	if refusal.Verdict != verdict.NotRun || m.MayRun(c, now) == nil {
		return refusal
	}
	weaker := *refusal
	weaker.Verdict = verdict.MayHaveRun
	return &weaker
}

// LeaseUntil returns the end of the lease; zero means no lease.
func (m *StateMachine) LeaseUntil() time.Time {
	return m.snapshot.Load().until
}

func (m *StateMachine) current() *span {
	if len(m.views) == 0 {
		return nil
	}
	return m.views[len(m.views)-1]
}

// extendCurrent extends the current span to a later revision with the same hosts.
// Published snapshots keep the old span.
func (m *StateMachine) extendCurrent(revision uint64) {
	extended := *m.current()
	extended.last = revision
	m.views = slices.Clone(m.views)
	m.views[len(m.views)-1] = &extended
}

// adoptPeerRevision adopts a later revision from a peer with the same set of hosts, so
// that list changes that don't affect this service do not interrupt ownership.
func (m *StateMachine) adoptPeerRevision(h Heartbeat) {
	current := m.current()
	if current != nil && h.ViewRevision > current.last && h.ViewHash == current.hash {
		m.extendCurrent(h.ViewRevision)
	}
}

// knows reports whether a reported view is among the known ones.
func (m *StateMachine) knows(s viewReport) bool {
	for _, view := range m.views {
		if view.contains(s.revision, s.hash) {
			return true
		}
	}
	return false
}
