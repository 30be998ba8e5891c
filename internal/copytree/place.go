package copytree

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Selector selects the upstream of a node among the nodes that it knows. It is safe for
// concurrent use.
type Selector struct {
	self Member

	mu sync.Mutex
	// seeds are the addresses of the nodes to query while there are no members.
	seeds []string
	// members are the known nodes and digest is an order-independent digest of them.
	// ranking is computed from them on first use; ranked reports that it is up to date.
	members []Member
	digest  uint64
	ranking Ranking
	ranked  bool
	// ejectedUntil holds the addresses of ejected nodes with the ends of the ejections.
	ejectedUntil map[string]time.Time
	// queries counts the calls of QueryTarget.
	queries int
}

// NewSelector returns the selector of a node that knows only seeds.
func NewSelector(self Member, seeds []string) *Selector {
	return &Selector{self: self, seeds: seeds, ejectedUntil: map[string]time.Time{}}
}

// SetSeeds replaces the nodes to query while there are no members.
func (p *Selector) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// SetMembers replaces the known nodes, which include this node.
func (p *Selector) SetMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := digestOf(members)
	if digest == p.digest && len(members) == len(p.members) {
		return // most changes of the store do not affect the members
	}
	p.members, p.digest, p.ranked = members, digest, false
}

// digestOf returns an order-independent digest of members.
func digestOf(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += xxhash.Sum64String(m.Address + " " + m.DataCentre)
	}
	return sum
}

// Upstream returns the node whose copy of the store this node follows, and false when
// this node has to read the store. A node without members follows a random seed, unless
// it is a seed itself.
func (p *Selector) Upstream(now time.Time) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) == 0 {
		seed, ok := p.randomSeed()
		return Upstream{Address: seed, Hops: 1}, ok
	}
	return p.currentRanking().Upstream(p.self, func(address string) bool { return !now.Before(p.ejectedUntil[address]) })
}

// randomSeed returns a random seed, and false when there is none or this node is a seed.
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

// Eject excludes a node from the upstreams until a time.
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

// ClearEjections makes all ejected nodes eligible again.
func (p *Selector) ClearEjections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.ejectedUntil)
}

// QueryTarget returns the node to query while there is no recent copy. It alternates
// between the upstream that this node would have if all nodes were usable, so that the
// recovery of the store propagates down the tree, and a random member or seed. It returns
// false when no other node is known.
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
