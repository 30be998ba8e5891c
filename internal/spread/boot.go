package spread

import "time"

// bootHerdFactor lengthens the wait for the first read when peers answered but
// hold nothing either: many nodes start at once, and one of them is enough.
const bootHerdFactor = 2

// bootAsks is the number of boot peers that a starting node asks.
const bootAsks = 5

// boot is the first phase of a process: it asks peers for their versions and
// applies nothing until all answered, failed or the wait passed. So it starts
// with nothing older than the newest that an answering peer holds.
type boot struct {
	open     bool
	started  bool
	answered bool            // a peer answered
	waiting  map[string]bool // addresses that have not answered
	deadline time.Time
}

func (m *Machine) startBoot(now time.Time) {
	m.boot = boot{open: true, waiting: map[string]bool{}, deadline: now.Add(m.cfg.BootWait)}
}

// checkBoot asks on the first tick and ends the phase when nothing is awaited.
func (m *Machine) checkBoot(now time.Time) {
	if !m.boot.open {
		return
	}
	if !m.boot.started {
		m.boot.started = true
		m.boot.deadline = now.Add(m.cfg.BootWait)
		for _, address := range sample(m.peers.boot, m.random, bootAsks) {
			m.boot.waiting[address] = true
			m.gossip(now, address, ClassVersions)
		}
	}
	if len(m.boot.waiting) == 0 || !now.Before(m.boot.deadline) {
		m.boot.open = false
		m.nextAntiEntropy = now.Add(m.jitter(m.antiEntropyPeriod()))
		wait := m.cfg.BootJitter
		if m.boot.answered {
			wait *= bootHerdFactor
		}
		m.source.bootRead = now.Add(m.jitter(wait))
		for _, d := range m.documents {
			m.pullNext(now, d)
		}
	}
}

// bootHeard ends the wait for one address.
func (m *Machine) bootHeard(now time.Time, address string) {
	if !m.boot.open {
		return
	}
	delete(m.boot.waiting, address)
	m.checkBoot(now)
}
