package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/wire"
)

// neverContacted is the wire form of an unknown source age.
const neverContacted = -1

// A node that holds nothing yet compares with its peers more often at first,
// and then ever less, so that a herd of such nodes spares the few that they all
// know from their settings.
const (
	lackingFactor    = 4 // times more often at first
	lackingDoublings = 3 // of the period, up to twice the usual one
)

// pushRounds is the number of rounds in which a new version is pushed, and
// pushPause the time between them. The second round reaches peers that the
// first one, infect and forward, missed by chance or loss.
const (
	pushRounds = 2
	pushPause  = 200 * time.Millisecond
)

// recordsEvery is the time between two pushes of host records, so that changes
// share messages.
const recordsEvery = 500 * time.Millisecond

// push is what is left to push of the newest versions.
type push struct {
	rounds int
	due    time.Time
}

func (p *push) start(now time.Time) {
	p.rounds = pushRounds
	p.due = now
}

// pushDue pushes new versions, leaving marks and host records to a few peers.
// What the budget refuses stays due.
func (m *Machine) pushDue(now time.Time) {
	if m.push.rounds > 0 && !now.Before(m.push.due) && m.fanOut(now, ClassVersions) {
		m.push.rounds--
		m.push.due = now.Add(pushPause)
	}
	switch m.cfg.Records.Pending(now) {
	case LeavingPending:
		m.fanOut(now, ClassLeaving)
	case RecordsPending:
		if !now.Before(m.nextRecords) && m.fanOut(now, ClassRecords) {
			m.nextRecords = now.Add(recordsEvery)
		}
	}
}

func (m *Machine) fanOut(now time.Time, class Class) bool {
	if !m.budget.Allow(now, class) {
		return false
	}
	for _, address := range m.peers.fanout(now, m.random, m.cfg.Fanout) {
		m.gossip(now, address, class)
	}
	return true
}

// antiEntropy compares with one random peer each period.
func (m *Machine) antiEntropy(now time.Time) {
	if m.boot.open || now.Before(m.nextAntiEntropy) || !m.budget.Allow(now, ClassRest) {
		return
	}
	period := m.antiEntropyPeriod()
	m.nextAntiEntropy = now.Add(period*3/4 + m.jitter(period/2))
	if address := m.peers.partner(now, m.random, m.cfg.Readers); address != "" {
		m.gossip(now, address, ClassRest)
	}
}

func (m *Machine) antiEntropyPeriod() time.Duration {
	if !m.lacking() {
		return m.cfg.AntiEntropyEvery
	}
	period := m.cfg.AntiEntropyEvery / lackingFactor << m.lackingRounds
	m.lackingRounds = min(m.lackingRounds+1, lackingDoublings)
	return period
}

// gossip sends this node's state to a peer.
func (m *Machine) gossip(now time.Time, address string, class Class) {
	message := m.state(now)
	switch class {
	case ClassVersions:
		m.cfg.Records.Introduce(message)
	case ClassRest:
		m.cfg.Records.Compare(message)
	}
	m.cfg.Records.Offer(now, message)
	m.send(now, address, class, message)
}

func (m *Machine) send(now time.Time, address string, class Class, message *wire.Gossip) {
	m.budget.Charge(now, class, proto.Size(message))
	m.emit(SendGossip{Address: address, Message: message})
}

// state is this node's share of any gossip.
func (m *Machine) state(now time.Time) *wire.Gossip {
	message := &wire.Gossip{
		Host:            string(m.self.ID),
		SourceAgeMillis: neverContacted,
		Applied:         versionToWire(m.appliedVersion()),
	}
	for _, d := range m.documents {
		if announcement := d.announcement(); announcement != nil {
			message.Documents = append(message.Documents, announcement)
		}
	}
	if m.source.contacted {
		message.SourceAgeMillis = max(0, now.Sub(m.source.contact).Milliseconds())
	}
	return message
}

// GossipReceived takes a peer's gossip and returns the reply.
func (m *Machine) GossipReceived(now time.Time, message *wire.Gossip) (*wire.Gossip, []Effect) {
	address := m.addressOf(message)
	if address != "" {
		m.peers.answered(address)
	}
	m.learn(now, address, message)
	reply := m.state(now)
	if m.budget.Allow(now, ClassRest) {
		m.cfg.Records.Receive(now, message, reply)
	} else {
		m.cfg.Records.Receive(now, message, nil)
	}
	m.budget.Charge(now, ClassRest, proto.Size(reply))
	m.pushDue(now)
	return reply, m.drain()
}

// GossipAnswered takes a peer's reply.
func (m *Machine) GossipAnswered(now time.Time, address string, reply *wire.Gossip) []Effect {
	m.peers.answered(address)
	m.learn(now, address, reply)
	m.boot.answered = true
	m.bootHeard(now, address)
	followUp := m.cfg.Records.Answered(now, reply)
	if followUp != nil && m.budget.Allow(now, ClassRest) {
		own := m.state(now)
		proto.Merge(own, followUp)
		m.send(now, address, ClassRest, own)
	}
	m.pushDue(now)
	return m.drain()
}

// PeerFailed takes the failure of a gossip exchange.
func (m *Machine) PeerFailed(now time.Time, address string) []Effect {
	m.peers.failed(now, address)
	m.counters.PeerFailures++
	m.bootHeard(now, address)
	return m.drain()
}

// learn takes what a peer says of its versions and of the source. A peer whose
// address is not known can't be pulled from.
func (m *Machine) learn(now time.Time, address string, message *wire.Gossip) {
	if age := message.GetSourceAgeMillis(); age >= 0 {
		m.source.heard(now.Add(-time.Duration(age) * time.Millisecond))
	}
	if address == "" {
		return
	}
	for _, announced := range message.GetDocuments() {
		d := m.document(announced.GetKind())
		hash, ok := hashFromWire(announced.GetManifestHash())
		if d == nil || !ok {
			continue
		}
		version := versionFromWire(announced.GetVersion())
		m.countConflict(d, version, hash)
		d.announce(offer{address: address, version: version, hash: hash})
		m.pullNext(now, d)
	}
}
