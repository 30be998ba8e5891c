package copytree

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Place is the place of one node among the others that it knows. It is safe for
// concurrent use.
type Place struct {
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
	// avoided holds the nodes that are not to be followed, and until when.
	avoided map[string]time.Time
	// asked counts the calls of Ask.
	asked int
}

// NewPlace returns the place of a node that knows only seeds.
func NewPlace(self Member, seeds []string) *Place {
	return &Place{self: self, seeds: seeds, avoided: map[string]time.Time{}}
}

// SetSeeds replaces the nodes to ask while no member is known.
func (p *Place) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// SetMembers replaces the nodes that are known, this one included.
func (p *Place) SetMembers(members []Member) {
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
func (p *Place) Upstream(now time.Time) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) == 0 {
		seed, ok := p.seed()
		return Upstream{Address: seed, Hops: 1}, ok
	}
	return p.rank().Upstream(p.self, func(address string) bool { return !now.Before(p.avoided[address]) })
}

// seed draws one of the seeds. It returns false when this node is one of them.
func (p *Place) seed() (string, bool) {
	if len(p.seeds) == 0 || slices.Contains(p.seeds, p.self.Address) {
		return "", false
	}
	return p.seeds[rand.IntN(len(p.seeds))], true
}

func (p *Place) rank() Ranking {
	if !p.ranked {
		p.ranking, p.ranked = NewRanking(p.members), true
	}
	return p.ranking
}

// Avoid keeps a node from being followed until a time.
func (p *Place) Avoid(address string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for known, end := range p.avoided {
		if time.Now().After(end) {
			delete(p.avoided, known)
		}
	}
	p.avoided[address] = until
}

// Forgive lets all nodes be followed again.
func (p *Place) Forgive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.avoided)
}

// Ask returns a node to ask while no young copy is known: by turns the one that this
// node would follow if all answered, so that the store's return spreads down the tree,
// and any other, member or seed. It returns false when no other is known.
func (p *Place) Ask() (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.asked%2 == 0 && len(p.members) > 0 {
		if upstream, ok := p.rank().Upstream(p.self, func(string) bool { return true }); ok {
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
