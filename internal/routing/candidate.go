package routing

import (
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// class orders candidates: a worse class is used only when no better one has
// a candidate.
type class uint8

const (
	classGood       class = iota
	classBackingOff       // failures in a row
	classSuspect          // may be dead
)

// candidate is a server that may be chosen, with its load at this moment.
type candidate struct {
	server   *Server
	load     int64 // requests of this sender and, by its report, of others
	capacity int64
	limit    int64 // of this sender's outstanding requests; 0 is none
	class    class
	distance datacentre.Distance
	cold     bool
}

// busier reports whether one more request would leave c with a higher
// utilisation than other.
func (c *candidate) busier(other *candidate) bool {
	return (c.load+1)*other.capacity > (other.load+1)*c.capacity
}

// assess returns the candidate of a server, or false when the server may not
// be chosen now: its gate said that it leaves, or this sender's share of a
// cold server is used up.
func (p *Pool) assess(i int, now int64) (candidate, bool) {
	s := &p.servers[i]
	if s.Stats.saidLeaving(now) {
		return candidate{}, false
	}
	c := candidate{server: s, distance: p.distances[i], class: classOf(s, now)}
	outstanding := s.Stats.outstanding.Load()
	report, weight := s.Stats.fresh(now)
	c.capacity = int64(s.Capacity)
	c.cold = s.State != host.StateWarm
	if weight > 0 {
		c.capacity = int64(report.limit())
		c.cold = c.cold || report.state() == host.StateCold
	}
	c.capacity = max(c.capacity, 1)
	c.load = outstanding + int64(report.foreign())*weight/1000
	if c.cold {
		c.limit = p.coldShare(c.capacity)
		return c, outstanding < c.limit
	}
	return c, true
}

func classOf(s *Server, now int64) class {
	switch {
	case s.Suspect:
		return classSuspect
	case s.Stats.backingOff(now):
		return classBackingOff
	default:
		return classGood
	}
}

// coldShare is the sender's share of a cold server's capacity, at least one.
func (p *Pool) coldShare(capacity int64) int64 {
	entries := int64(p.config.Entries)
	return (capacity + entries - 1) / entries
}
