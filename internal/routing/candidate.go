package routing

import (
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// healthClass ranks candidates by health: a worse class is used only when no
// candidate of a better class is left.
type healthClass uint8

const (
	classHealthy    healthClass = iota
	classBackingOff             // after consecutive failures
	classSuspect                // may be dead
)

// candidate is a server that may be chosen, with its current load.
type candidate struct {
	server     *Server
	load       int64 // requests of this sender plus those of others by the load report
	capacity   int64
	limit      int64 // on this sender's outstanding requests; 0 is unlimited
	class      healthClass
	distance   datacentre.Distance
	dataCentre uint8 // index of the data centre within the pool
	cold       bool
}

// moreUtilised reports whether c would have a higher utilisation than other if
// each got one more request.
func (c *candidate) moreUtilised(other *candidate) bool {
	return (c.load+1)*other.capacity > (other.load+1)*c.capacity
}

// assess fills in the candidate of the server at index i. It writes in place
// because a copy would cost more than the rest of the function. It returns false
// when the server may not be chosen now: its gate reported that it is leaving or down, or
// this sender's share of a cold server is used up.
func (p *Pool) assess(i int, now int64, c *candidate) bool {
	s := &p.subset[i]
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
	c.load = outstanding + int64(report.othersRequests())*weight/1000
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

// coldShare returns this sender's share of a cold server's capacity, at least
// one request.
func (p *Pool) coldShare(capacity int64) int64 {
	senders := int64(p.config.Senders)
	return (capacity + senders - 1) / senders
}
