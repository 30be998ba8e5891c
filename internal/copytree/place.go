package copytree

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Selector is the place of one node among the others that it knows. It is safe for
// concurrent use.
type Selector struct {
	self Member

	mu sync.Mutex
	// seeds are the addresses of nodes to ask while no member is known.
	seeds []string
	// members are the nodes that are known, digest is theirs whatever their order, and
	// ranking orders them once it was needed.
	members []Member
	digest  uint64
	ranking Ranking
	ranked  bool
	// ejectedUntil holds the nodes that are not to be followed, and until when.
	ejectedUntil map[string]time.Time
	// queries counts the calls of Ask.
	queries int
}

// NewSelector returns the place of a node that knows only seeds.
func NewSelector(self Member, seeds []string) *Selector {
	return &Selector{self: self, seeds: seeds, ejectedUntil: map[string]time.Time{}}
}

// SetSeeds replaces the nodes to ask while no member is known.
func (p *Selector) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// SetMembers replaces the nodes that are known, this one included.
func (p *Selector) SetMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := digestOf(members)
	if digest == p.digest && len(members) == len(p.members) {
		return // most changes of the store are about something else
	}
	p.members, p.digest, p.ranked = members, digest, false
}

// digestOf returns a digest of a set of members.
func digestOf(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += xxhash.Sum64String(m.Address + " " + m.DataCentre)
	}
	return sum
}

// Upstream returns the node whose copy of the store this one follows, and false when
// this node is to read the store. A node that knows no other follows a seed, unless
// it is one itself.
func (p *Selector) Upstream(now time.Time) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) == 0 {
		seed, ok := p.randomSeed()
		return Upstream{Address: seed, Hops: 1}, ok
	}
	return p.currentRanking().Upstream(p.self, func(address string) bool { return !now.Before(p.ejectedUntil[address]) })
}

// randomSeed draws one of the seeds. It returns false when this node is one of them.
func (p *Selector) randomSeed() (string, bool) {
	if len(p.seeds) == 0 || slices.Contains(p.seeds, p.self.Address) {
		return "", false
	}
	return p.seeds[rand.IntN(len(p.seeds))], true
}

func (p *Selector) currentRanking() Ranking {
	if !p.ranked {
		p.ranking, p.ranked = NewRanking(p.members), true
	}
	return p.ranking
}

// Eject keeps a node from being followed until a time.
func (p *Selector) Eject(address string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for known, end := range p.ejectedUntil {
		if time.Now().After(end) {
			delete(p.ejectedUntil, known)
		}
	}
	p.ejectedUntil[address] = until
}

// ClearEjections lets all nodes be followed again.
func (p *Selector) ClearEjections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.ejectedUntil)
}

// QueryTarget returns a node to ask while no young copy is known: by turns the one that this
// node would follow if all answered, so that the store's return spreads down the tree,
// and any other, member or seed. It returns false when no other is known.
func (p *Selector) QueryTarget() (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries++
	if p.queries%2 == 0 && len(p.members) > 0 {
		if upstream, ok := p.currentRanking().Upstream(p.self, func(string) bool { return true }); ok {
			return upstream.Address, true
		}
	}
	var others []string
	for _, m := range p.members {
		if m.Address != p.self.Address {
			others = append(others, m.Address)
		}
	}
	for _, seed := range p.seeds {
		if seed != p.self.Address {
			others = append(others, seed)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}
