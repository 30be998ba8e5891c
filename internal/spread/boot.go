package spread

import "time"

// bootJitterFactor lengthens the random delay of the first read when peers responded but
// hold nothing either: many nodes start at once, and a read by one of them is enough.
const bootJitterFactor = 2

// bootPeerQueries is the number of boot peers that a starting node queries.
const bootPeerQueries = 5

// bootState is the state of the boot phase. A starting node queries peers for their
// versions and applies nothing until all of them responded or failed, or the timeout
// passed. It therefore starts with no version older than the newest version of the
// peers that responded.
type bootState struct {
	active       bool
	queried      bool
	peerAnswered bool            // a peer responded
	pending      map[string]bool // addresses that have not responded
	deadline     time.Time
}

func (m *Machine) startBoot(now time.Time) {
	m.boot = bootState{active: true, pending: map[string]bool{}, deadline: now.Add(m.cfg.BootTimeout)}
}

// advanceBoot queries the boot peers on the first tick, and ends the boot phase when no
// response is pending or the timeout has passed.
func (m *Machine) advanceBoot(now time.Time) {
	if !m.boot.active {
		return
	}
	if !m.boot.queried {
		m.boot.queried = true
		m.boot.deadline = now.Add(m.cfg.BootTimeout)
		for _, address := range sample(m.peers.boot, m.random, bootPeerQueries) {
			m.boot.pending[address] = true
			m.gossip(now, address, ClassVersions)
		}
	}
	if len(m.boot.pending) == 0 || !now.Before(m.boot.deadline) {
		m.boot.active = false
		m.nextAntiEntropy = now.Add(m.jitter(m.antiEntropyPeriod()))
		wait := m.cfg.BootJitter
		if m.boot.peerAnswered {
			wait *= bootJitterFactor
		}
		m.source.firstReadAt = now.Add(m.jitter(wait))
		for _, d := range m.documents {
			m.startNextPull(now, d)
		}
	}
}

// bootPeerDone records that a boot peer responded or failed.
func (m *Machine) bootPeerDone(now time.Time, address string) {
	if !m.boot.active {
		return
	}
	delete(m.boot.pending, address)
	m.advanceBoot(now)
}
