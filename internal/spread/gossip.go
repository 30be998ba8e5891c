package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/wire"
)

// neverContacted is the wire value of an unknown source age.
const neverContacted = -1

// A node that lacks a version runs anti-entropy more often at first and then at doubling
// intervals, so that many such nodes do not overload the few boot peers that all of them
// have in their settings.
const (
	catchUpFactor    = 4 // initial divisor of the anti-entropy period
	catchUpDoublings = 3 // of the period, up to twice the usual period
)

// pushRounds is the number of rounds in which a new version is pushed, and pushInterval
// the time between them. The second round reaches peers that the first round, in which
// each receiver forwards the version, missed by chance or message loss.
const (
	pushRounds   = 2
	pushInterval = 200 * time.Millisecond
)

// recordPushInterval is the time between two pushes of host records, which batches
// changes into fewer messages.
const recordPushInterval = 500 * time.Millisecond

// pushState is the remaining work of the push of the newest versions.
type pushState struct {
	rounds int
	due    time.Time
}

func (p *pushState) start(now time.Time) {
	p.rounds = pushRounds
	p.due = now
}

// pushDue pushes new versions, leaving marks and host records to a few peers. A push
// that exceeds the byte budget stays due.
func (m *Machine) pushDue(now time.Time) {
	if m.push.rounds > 0 && !now.Before(m.push.due) && m.pushToPeers(now, ClassVersions) {
		m.push.rounds--
		m.push.due = now.Add(pushInterval)
	}
	switch m.cfg.Records.Pending(now) {
	case LeavingPending:
		m.pushToPeers(now, ClassLeaving)
	case RecordsPending:
		if !now.Before(m.nextRecordPush) && m.pushToPeers(now, ClassRecords) {
			m.nextRecordPush = now.Add(recordPushInterval)
		}
	}
}

func (m *Machine) pushToPeers(now time.Time, class Class) bool {
	if !m.budget.Allow(now, class) {
		return false
	}
	for _, address := range m.peers.fanout(now, m.random, m.cfg.Fanout) {
		m.gossip(now, address, class)
	}
	return true
}

// antiEntropy exchanges state with one random peer per period.
func (m *Machine) antiEntropy(now time.Time) {
	if m.boot.active || now.Before(m.nextAntiEntropy) || !m.budget.Allow(now, ClassAntiEntropy) {
		return
	}
	period := m.antiEntropyPeriod()
	m.nextAntiEntropy = now.Add(period*3/4 + m.jitter(period/2))
	if address := m.peers.antiEntropyPeer(now, m.random, m.cfg.Readers); address != "" {
		m.gossip(now, address, ClassAntiEntropy)
	}
}

func (m *Machine) antiEntropyPeriod() time.Duration {
	if !m.incomplete() {
		return m.cfg.AntiEntropyInterval
	}
	period := m.cfg.AntiEntropyInterval / catchUpFactor << m.catchUpRounds
	m.catchUpRounds = min(m.catchUpRounds+1, catchUpDoublings)
	return period
}

// gossip sends this node's state to a peer.
func (m *Machine) gossip(now time.Time, address string, class Class) {
	message := m.localState(now)
	switch class {
	case ClassVersions:
		m.cfg.Records.AddOwnRecord(message)
	case ClassAntiEntropy:
		m.cfg.Records.AddRecordHash(message)
	}
	m.cfg.Records.AddPendingRecords(now, message)
	m.sendGossip(now, address, class, message)
}

func (m *Machine) sendGossip(now time.Time, address string, class Class, message *wire.Gossip) {
	m.budget.Charge(now, class, proto.Size(message))
	m.emit(SendGossip{Address: address, Message: message})
}

// localState returns the part of a gossip message that every message contains.
func (m *Machine) localState(now time.Time) *wire.Gossip {
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
		message.SourceAgeMillis = max(0, now.Sub(m.source.lastContact).Milliseconds())
	}
	return message
}

// GossipReceived handles a peer's gossip and returns the reply.
func (m *Machine) GossipReceived(now time.Time, message *wire.Gossip) (*wire.Gossip, []Effect) {
	address := m.senderAddress(message)
	if address != "" {
		m.peers.markAnswered(address)
	}
	m.applyPeerState(now, address, message)
	reply := m.localState(now)
	if m.budget.Allow(now, ClassAntiEntropy) {
		m.cfg.Records.MergeGossip(now, message, reply)
	} else {
		m.cfg.Records.MergeGossip(now, message, nil)
	}
	m.budget.Charge(now, ClassAntiEntropy, proto.Size(reply))
	m.pushDue(now)
	return reply, m.takeEffects()
}

// GossipAnswered handles a peer's reply to a gossip.
func (m *Machine) GossipAnswered(now time.Time, address string, reply *wire.Gossip) []Effect {
	m.peers.markAnswered(address)
	m.applyPeerState(now, address, reply)
	m.boot.peerAnswered = true
	m.bootPeerDone(now, address)
	followUp := m.cfg.Records.MergeReply(now, reply)
	if followUp != nil && m.budget.Allow(now, ClassAntiEntropy) {
		own := m.localState(now)
		proto.Merge(own, followUp)
		m.sendGossip(now, address, ClassAntiEntropy, own)
	}
	m.pushDue(now)
	return m.takeEffects()
}

// PeerFailed handles the failure of a gossip exchange.
func (m *Machine) PeerFailed(now time.Time, address string) []Effect {
	m.peers.markFailed(now, address)
	m.counters.PeerFailures++
	m.bootPeerDone(now, address)
	return m.takeEffects()
}

// applyPeerState processes the versions and the source age that a peer announces. The
// versions of a peer without a known address are ignored, since they can't be pulled.
func (m *Machine) applyPeerState(now time.Time, address string, message *wire.Gossip) {
	if age := message.GetSourceAgeMillis(); age >= 0 {
		m.source.recordContact(now.Add(-time.Duration(age) * time.Millisecond))
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
		d.addOffer(offer{address: address, version: version, hash: hash})
		m.startNextPull(now, d)
	}
}
