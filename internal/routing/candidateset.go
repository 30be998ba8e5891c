package routing

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"boragefall/internal/host"
)

// candidateSet holds the candidates of one choice. It lives on the stack.
type candidateSet struct {
	candidates [maxSubsetSize]candidate
	n          int
}

// group names some candidates of a candidateSet.
type group struct {
	index    [maxSubsetSize]uint8
	n        int
	capacity int64
}

func (g *group) add(i int, capacity int64) {
	g.index[g.n] = uint8(i)
	g.n++
	g.capacity += capacity
}

// fill collects the candidates of the best class, without those of data
// centres in trouble unless there are no others.
func (s *candidateSet) fill(p *Pool, exclude []host.ID, now time.Time) {
	var health dataCentreHealth
	best := classSuspect
	nanos := now.UnixNano()
	for i := range p.servers {
		health.add(p.dataCentres[i], p.servers[i].Stats, nanos)
		if slices.Contains(exclude, p.servers[i].Host) {
			continue
		}
		c := &s.candidates[s.n]
		if !p.assess(i, nanos, c) || c.class > best {
			continue
		}
		if c.class < best {
			best = c.class
			s.candidates[0] = *c
			s.n = 0
		}
		s.n++
	}
	if health.anyEjected {
		if len(exclude) == 0 && p.ejectedAttempts.Add(1)%ejectionProbeInterval == 0 {
			health.clearFailures()
		}
		s.ejectDataCentres(p, &health, nanos)
	}
}

// ejectDataCentres drops the candidates of data centres in trouble. When a data centre
// leaves or dies, a sender whose view is old learns so from two hosts, and its
// requests need not try all others there.
func (s *candidateSet) ejectDataCentres(p *Pool, health *dataCentreHealth, now int64) {
	health.clearRecovered(p, now)
	kept := 0
	for i := range s.candidates[:s.n] {
		if !health.ejected(s.candidates[i].dataCentre) {
			s.candidates[kept], s.candidates[i] = s.candidates[i], s.candidates[kept]
			kept++
		}
	}
	if kept > 0 {
		s.n = kept
	}
}

// spillDistance returns how far away the choice may go: the nearest distance whose
// utilisation is below the threshold, given in percent. Cold servers count only
// where all are cold: near ones must not draw all requests to themselves when
// their data centre returns.
func (s *candidateSet) spillDistance(percent int64) (int, bool) {
	var load, capacity [distanceCount]int64
	allCold := s.allCold()
	for i := range s.candidates[:s.n] {
		c := &s.candidates[i]
		if c.cold && !allCold {
			continue
		}
		load[c.distance] += c.load
		capacity[c.distance] += c.capacity
	}
	for d := range distanceCount {
		if load[d]*100 < capacity[d]*percent {
			return d, true
		}
	}
	return 0, false
}

func (s *candidateSet) allCold() bool {
	for i := range s.candidates[:s.n] {
		if !s.candidates[i].cold {
			return false
		}
	}
	return true
}

// pick chooses among the nearest candidates that have room, or among all when
// none has. Cold servers that are nearer than those get their part, too.
func (s *candidateSet) pick(p *Pool, r rand.Source) *candidate {
	if s.n == 0 {
		return nil
	}
	distance, ok := s.spillDistance(int64(p.config.SpillPercent))
	if !ok {
		distance, ok = s.spillDistance(100)
	}
	var warm, cold group
	for i := range s.candidates[:s.n] {
		c := &s.candidates[i]
		switch {
		case ok && int(c.distance) > distance:
		case c.cold:
			cold.add(i, c.capacity)
		case !ok || int(c.distance) == distance:
			warm.add(i, c.capacity)
		}
	}
	return s.pickByCapacity(&warm, &cold, r)
}

// pickByCapacity sends cold servers the part of the requests that their
// capacity is of the whole, so that they warm up and are not flooded: by
// utilisation alone an idle cold server would look worse than any warm one.
func (s *candidateSet) pickByCapacity(warm, cold *group, r rand.Source) *candidate {
	switch {
	case cold.n == 0:
		return s.twoChoices(warm, r)
	case warm.n == 0:
		return s.twoChoices(cold, r)
	case randomBelow(r, uint64(warm.capacity+cold.capacity)) < uint64(cold.capacity):
		return s.twoChoices(cold, r)
	default:
		return s.twoChoices(warm, r)
	}
}

// twoChoices draws two candidates and takes the less utilised one
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
func (s *candidateSet) twoChoices(g *group, r rand.Source) *candidate {
	first := randomBelow(r, uint64(g.n))
	if g.n == 1 {
		return &s.candidates[g.index[first]]
	}
	second := randomBelow(r, uint64(g.n-1))
	if second >= first {
		second++
	}
	x := &s.candidates[g.index[first]]
	y := &s.candidates[g.index[second]]
	if x.moreUtilised(y) {
		return y
	}
	return x
}

// randomBelow returns a number in [0, n) (Lemire, "Fast Random Integer Generation in
// an Interval", without the correction that only matters for very large n).
func randomBelow(r rand.Source, n uint64) uint64 {
	high, _ := bits.Mul64(r.Uint64(), n)
	return high
}
