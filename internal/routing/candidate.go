package routing

import (
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// healthClass orders candidates: a worse healthClass is used only when no better one has
// a candidate.
type healthClass uint8

const (
	classHealthy    healthClass = iota
	classBackingOff             // failures in a row
	classSuspect                // may be dead
)

// candidate is a server that may be chosen, with its load at this moment.
type candidate struct {
	server     *Server
	load       int64 // requests of this sender and, by its report, of others
	capacity   int64
	limit      int64 // of this sender's outstanding requests; 0 is none
	class      healthClass
	distance   datacentre.Distance
	dataCentre uint8 // its number in the pool
	cold       bool
}

// moreUtilised reports whether one more request would leave c with a higher
// utilisation than other.
func (c *candidate) moreUtilised(other *candidate) bool {
	return (c.load+1)*other.capacity > (other.load+1)*c.capacity
}

// assess fills in the candidate of a server, in place since copies would cost
// more than the rest. It returns false when the server may not be chosen now:
// its gate said that it leaves, or this sender's share of a cold server is used
// up.
func (p *Pool) assess(i int, now int64, c *candidate) bool {
	s := &p.servers[i]
	if s.Stats.reportedLeaving(now) {
		return false
	}
	outstanding := s.Stats.outstanding.Load()
	report, weight := s.Stats.recentReport(now)
	capacity := int64(s.Capacity)
	cold := s.State != host.StateWarm
	if weight > 0 {
		capacity = int64(report.limit())
		cold = cold || report.state() == host.StateCold
	}
	c.server, c.class = s, classOf(s, now)
	c.distance, c.dataCentre = p.distances[i], p.dataCentres[i]
	c.capacity, c.cold, c.limit = max(capacity, 1), cold, 0
	c.load = outstanding + int64(report.otherSenders())*weight/1000
	if !cold {
		return true
	}
	c.limit = p.coldShare(c.capacity)
	return outstanding < c.limit
}

func classOf(s *Server, now int64) healthClass {
	switch {
	case s.Suspect:
		return classSuspect
	case s.Stats.backingOff(now):
		return classBackingOff
	default:
		return classHealthy
	}
}

// coldShare is the sender's share of a cold server's capacity, at least one.
func (p *Pool) coldShare(capacity int64) int64 {
	senders := int64(p.config.Senders)
	return (capacity + senders - 1) / senders
}
