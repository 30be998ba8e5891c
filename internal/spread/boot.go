package spread

import "time"

// bootJitterFactor lengthens the wait for the first read when peers answered but
// hold nothing either: many nodes start at once, and one of them is enough.
const bootJitterFactor = 2

// bootPeerQueries is the number of boot peers that a starting node asks.
const bootPeerQueries = 5

// bootState is the first phase of a process: it asks peers for their versions and
// applies nothing until all answered, failed or the wait passed. So it starts
// with nothing older than the newest that an answering peer holds.
type bootState struct {
	active       bool
	queried      bool
	peerAnswered bool            // a peer answered
	pending      map[string]bool // addresses that have not answered
	deadline     time.Time
}

func (m *Machine) startBoot(now time.Time) {
	m.boot = bootState{active: true, pending: map[string]bool{}, deadline: now.Add(m.cfg.BootTimeout)}
}

// advanceBoot asks on the first tick and ends the phase when nothing is awaited.
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

// bootPeerDone ends the wait for one address.
func (m *Machine) bootPeerDone(now time.Time, address string) {
	if !m.boot.active {
		return
	}
	delete(m.boot.pending, address)
	m.advanceBoot(now)
}
