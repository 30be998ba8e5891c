// Package spread distributes versioned documents, the configuration and the host list,
// between nodes. A few nodes read the source; all others learn of a new version by
// gossip and pull its files by hash. Each version is validated as a whole before it
// replaces the current one, and a floor prevents a return to an older version.
//
// Machine makes all decisions and does no I/O; Runner performs the I/O.
package spread

import (
	"math/rand/v2"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// pauseThreshold is the time between two ticks above which the process counts as paused.
const pauseThreshold = time.Second

// Machine is a deterministic state machine. Its input methods take the current time and
// return the effects to execute, in order. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	self      host.Listing
	validator Validator
	random    *rand.Rand

	documents   [len(kinds)]*document
	peers       *peers
	listedHosts []host.Listing // hosts of the current host list
	extraHosts  []host.Listing // known hosts that are not in the host list
	budget      *Budget
	boot        bootState
	source      sourceState
	push        pushState

	lastTick        time.Time
	nextAntiEntropy time.Time
	nextRecordPush  time.Time
	catchUpRounds   int // doublings of the anti-entropy period so far
	lastPullID      uint64
	effects         []Effect
	counters        Counters
}

// NewMachine returns the machine of a process that starts now without any documents.
func NewMachine(cfg Config, self host.Listing, acceptor Validator, random *rand.Rand, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:       cfg,
		self:      self,
		validator: acceptor,
		random:    random,
		peers:     newPeers(self, cfg.BootPeers),
		budget:    NewBudget(cfg.ControlBytesPerSecond, cfg.ControlBurstBytes, now),
		source:    newSource(cfg, now),
		lastTick:  now,
	}
	for i, kind := range kinds {
		m.documents[i] = &document{kind: kind}
	}
	m.startBoot(now)
	return m
}

// Tick performs the work that is due. It is called every Config.TickInterval.
func (m *Machine) Tick(now time.Time) []Effect {
	if now.Sub(m.lastTick) > pauseThreshold {
		// The documents may be outdated, so run anti-entropy at once.
		m.nextAntiEntropy = now
		m.counters.Pauses++
	}
	m.lastTick = now
	m.advanceBoot(now)
	m.checkPulls(now)
	m.readSource(now)
	m.antiEntropy(now)
	m.pushDue(now)
	return m.takeEffects()
}

// PeersChanged replaces the known hosts that are not in the host list.
func (m *Machine) PeersChanged(now time.Time, extra []host.Listing) []Effect {
	m.extraHosts = extra
	m.setPeers()
	return m.takeEffects()
}

// Current returns the bundle of the applied version, or nil.
func (m *Machine) Current(kind wire.DocumentKind) *Bundle {
	if d := m.document(kind); d != nil {
		return d.current
	}
	return nil
}

func (m *Machine) document(kind wire.DocumentKind) *document {
	for _, d := range m.documents {
		if d.kind == kind {
			return d
		}
	}
	return nil
}

// apply makes a version current and pushes it to peers.
func (m *Machine) apply(now time.Time, d *document, b *Bundle, accepted ValidDocument) {
	d.current = b
	d.floor = b.Version
	d.pruneOffers()
	m.counters.Applied++
	m.emit(Apply{Bundle: b, Document: accepted})
	if accepted.List != nil {
		m.listedHosts = accepted.List.Hosts
		m.setPeers()
	}
	m.push.start(now)
	m.pushDue(now)
}

func (m *Machine) reject(now time.Time, d *document, r Rejection) {
	r.Kind = d.kind
	r.At = now
	m.counters.Rejected++
	d.addRejection(r)
	m.emit(Rejected{Rejection: r})
}

func (m *Machine) setPeers() {
	m.peers.setHosts(append(append([]host.Listing(nil), m.listedHosts...), m.extraHosts...))
}

func (m *Machine) checkPulls(now time.Time) {
	for _, d := range m.documents {
		if d.pull != nil && !now.Before(d.pull.deadline) {
			m.peers.markFailed(now, d.pull.address)
			m.abandonPull(now, d)
		}
		m.startNextPull(now, d)
	}
}

// incomplete reports whether this node has no version of some document yet.
func (m *Machine) incomplete() bool {
	for _, d := range m.documents {
		if d.current == nil {
			return true
		}
	}
	return false
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) takeEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) appliedVersion() config.Version {
	if b := m.documents[0].current; b != nil {
		return b.Version
	}
	return config.Version{}
}

// jitter returns a random duration between 0 and limit.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}
