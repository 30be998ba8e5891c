package ownership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// StateMachine keeps the ownership of one host's gate for its service. Its inputs
// take a lock of their own; MayRun reads one atomic pointer.
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

// New returns a machine without a view for a process that started at bootTime.
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

// SetView takes a host list. An older one, or one of revision 0, is ignored.
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

// HeartbeatReceived takes the answer to a heartbeat of this host. The answer
// proves what its sender was doing at some time after sent, so a late one can't
// extend a lease.
func (m *StateMachine) HeartbeatReceived(h Heartbeat, sent, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Host == m.self.id || h.ViewRevision == 0 || h.Settled && h.Floor == 0 {
		return // a settled host has a floor; without it the message proves nothing
	}
	m.adoptPeerRevision(h)
	p := m.peers[h.Host]
	switch {
	case p == nil || h.Boot > p.bootMillis:
		p = &peer{bootMillis: h.Boot}
		m.peers[h.Host] = p
	case h.Boot < p.bootMillis || !sent.After(p.sent) || h.ViewRevision < p.lastReport().revision:
		return // an older process, or an answer that crossed a later one
	}
	p.addReport(h, sent, now)
	m.advance(now)
}

// Heartbeat returns what this host says now, asking or answering. It is to be
// called at least once a second also where there are no peers, since the floor
// rises with time too.
func (m *StateMachine) Heartbeat(now time.Time) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	h := Heartbeat{Host: m.self.id, Boot: m.bootTime.UnixMilli(), Floor: m.floor, Settled: m.floor > 0}
	if current := m.current(); current != nil {
		h.ViewRevision = current.last
		h.ViewHash = current.hash
		h.ViewFirst = current.first
	}
	return h
}

// Peers returns the hosts to send heartbeats to: those of every view that may
// be in use, dropped ones included.
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

// Paused notes that the process stood still: answers to requests sent before
// now prove nothing any more.
func (m *StateMachine) Paused(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pausedAt = now
	m.publish(now)
}

// MayRun returns nil when this host may run the key now. It must be asked
// again, with a fresh now, just before the request is handed to the server.
// The error is MayHaveRun, since this host can't speak for the others.
func (m *StateMachine) MayRun(c Claim, now time.Time) *verdict.Error {
	if c.Key.Minted {
		// One process knows the key and sends it to one gate at a time, so there
		// is no second runner to exclude.
		return nil
	}
	return m.snapshot.Load().mayRun(c, now)
}

// Refusal returns the refusal to send for a key that this gate would not run
// for another reason, such as load. It stays NotRun only while the gate may
// still run the key: only then does it know that nobody else did.
func (m *StateMachine) Refusal(c Claim, refusal *verdict.Error, now time.Time) *verdict.Error {
	if refusal.Verdict != verdict.NotRun || m.MayRun(c, now) == nil {
		return refusal
	}
	weaker := *refusal
	weaker.Verdict = verdict.MayHaveRun
	return &weaker
}

// LeaseUntil returns the end of the lease; zero is none.
func (m *StateMachine) LeaseUntil() time.Time {
	return m.snapshot.Load().until
}

func (m *StateMachine) current() *span {
	if len(m.views) == 0 {
		return nil
	}
	return m.views[len(m.views)-1]
}

// extendCurrent extends the current span to a later revision with the same
// hosts. Published rights keep the old span.
func (m *StateMachine) extendCurrent(revision uint64) {
	extended := *m.current()
	extended.last = revision
	m.views = slices.Clone(m.views)
	m.views[len(m.views)-1] = &extended
}

// adoptPeerRevision takes a later revision from a peer whose set of hosts is the
// same, so that changes of the list elsewhere cost nothing.
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
