package routing

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"boragefall/internal/host"
)

// board holds the candidates of one choice. It lives on the stack.
type board struct {
	candidates [maxSubsetSize]candidate
	n          int
}

// group names some candidates of a board.
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
func (b *board) fill(p *Pool, exclude []host.ID, now time.Time) {
	var trouble troubles
	best := classSuspect
	nanos := now.UnixNano()
	for i := range p.servers {
		trouble.add(p.dataCentres[i], p.servers[i].Stats, nanos)
		if slices.Contains(exclude, p.servers[i].Host) {
			continue
		}
		c := &b.candidates[b.n]
		if !p.assess(i, nanos, c) || c.class > best {
			continue
		}
		if c.class < best {
			best = c.class
			b.candidates[0] = *c
			b.n = 0
		}
		b.n++
	}
	if trouble.any {
		if len(exclude) == 0 && p.avoidances.Add(1)%troubleTrials == 0 {
			trouble.forgetFailures()
		}
		b.avoid(p, &trouble, nanos)
	}
}

// avoid drops the candidates of data centres in trouble. When a data centre
// leaves or dies, a sender whose view is old learns so from two hosts, and its
// requests need not try all others there.
func (b *board) avoid(p *Pool, t *troubles, now int64) {
	t.settle(p, now)
	kept := 0
	for i := range b.candidates[:b.n] {
		if !t.avoided(b.candidates[i].dataCentre) {
			b.candidates[kept], b.candidates[i] = b.candidates[i], b.candidates[kept]
			kept++
		}
	}
	if kept > 0 {
		b.n = kept
	}
}

// reach returns how far away the choice may go: the nearest distance whose
// utilisation is below the threshold, given in percent.
func (b *board) reach(percent int64) (int, bool) {
	var load, capacity [distances]int64
	for i := range b.candidates[:b.n] {
		c := &b.candidates[i]
		load[c.distance] += c.load
		capacity[c.distance] += c.capacity
	}
	for d := range distances {
		if load[d]*100 < capacity[d]*percent {
			return d, true
		}
	}
	return 0, false
}

// pick chooses among the nearest candidates that have room, or among all when
// none has.
func (b *board) pick(p *Pool, r rand.Source) *candidate {
	if b.n == 0 {
		return nil
	}
	distance, ok := b.reach(int64(p.config.SpillPercent))
	if !ok {
		distance, ok = b.reach(100)
	}
	var warm, cold group
	for i := range b.candidates[:b.n] {
		c := &b.candidates[i]
		if ok && int(c.distance) != distance {
			continue
		}
		if c.cold {
			cold.add(i, c.capacity)
		} else {
			warm.add(i, c.capacity)
		}
	}
	return b.pickByCapacity(&warm, &cold, r)
}

// pickByCapacity sends cold servers the part of the requests that their
// capacity is of the whole, so that they warm up and are not flooded: by
// utilisation alone an idle cold server would look worse than any warm one.
func (b *board) pickByCapacity(warm, cold *group, r rand.Source) *candidate {
	switch {
	case cold.n == 0:
		return b.twoChoices(warm, r)
	case warm.n == 0:
		return b.twoChoices(cold, r)
	case below(r, uint64(warm.capacity+cold.capacity)) < uint64(cold.capacity):
		return b.twoChoices(cold, r)
	default:
		return b.twoChoices(warm, r)
	}
}

// twoChoices draws two candidates and takes the less utilised one
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
func (b *board) twoChoices(g *group, r rand.Source) *candidate {
	first := below(r, uint64(g.n))
	if g.n == 1 {
		return &b.candidates[g.index[first]]
	}
	second := below(r, uint64(g.n-1))
	if second >= first {
		second++
	}
	x := &b.candidates[g.index[first]]
	y := &b.candidates[g.index[second]]
	if x.busier(y) {
		return y
	}
	return x
}

// below returns a number in [0, n) (Lemire, "Fast Random Integer Generation in
// an Interval", without the correction that only matters for very large n).
func below(r rand.Source, n uint64) uint64 {
	high, _ := bits.Mul64(r.Uint64(), n)
	return high
}
