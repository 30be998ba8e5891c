package routing

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"boragefall/internal/host"
)

// candidateSet holds the candidates for one request. Its arrays have a fixed size
// so that it is allocated on the stack.
type candidateSet struct {
	candidates [maxSubsetSize]candidate
	n          int
}

// group is a subset of the candidates of a candidateSet, by index.
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

// fill collects the candidates of the best health class. Candidates in ejected
// data centres are left out unless there are no others.
func (s *candidateSet) fill(p *Pool, exclude []host.ID, now time.Time) {
	var health dataCentreHealth
	best := classSuspect
	nanos := now.UnixNano()
	for i := range p.subset {
		health.add(p.dataCentres[i], p.subset[i].Stats, nanos)
		if slices.Contains(exclude, p.subset[i].Host) {
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
		if len(exclude) == 0 && p.firstAttemptsDuringEjection.Add(1)%ejectionProbeInterval == 0 {
			health.clearFailures()
		}
		s.ejectDataCentres(p, &health, nanos)
	}
}

// ejectDataCentres drops the candidates in ejected data centres. When a data
// centre is evacuated or fails, a sender with a stale view detects it from two
// hosts, so that its requests need not try all the other hosts there.
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

// spillDistance returns the nearest distance at which the utilisation is below
// percent, or false if there is none. Cold servers count only if all candidates
// are cold: when a data centre returns to service, its cold servers must not
// attract all requests of the senders near them.
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

// pick chooses among the candidates at the nearest distance with spare capacity,
// or among all candidates if no distance has any. Cold servers up to that
// distance get a share of the requests too.
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

// pickByCapacity gives the cold servers a share of the requests in proportion to
// their capacity, so that they warm up without being overloaded. By utilisation
// alone an idle cold server would look worse than any warm one.
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

// twoChoices samples two candidates at random and returns the less utilised one
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

// randomBelow returns a random number in [0, n) (Lemire, "Fast Random Integer
// Generation in an Interval", without the bias correction, which only matters for
// very large n).
func randomBelow(r rand.Source, n uint64) uint64 {
	high, _ := bits.Mul64(r.Uint64(), n)
	return high
}
