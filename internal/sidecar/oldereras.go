package sidecar

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragefall/internal/catalog"
)

const (
	// maxOlderEraPeers limits the peers that are counted.
	maxOlderEraPeers = 4096
	// maxOlderEraCopies is how many complete copies a peer in an older era gets. A node that
	// understands eras needs one, and another for each answer that is lost.
	maxOlderEraCopies = 3
)

// olderEraPeers recognizes nodes of builds without eras: they stay in era 0 whatever copies
// they receive. Such a node's requests would be answered with a complete copy at once, each
// time. It is safe for concurrent use.
type olderEraPeers struct {
	mu sync.Mutex
	// copies counts, by the address of a peer's link, the complete copies that the peer got
	// while it was in an older era.
	copies *simplelru.LRU[string, int]
}

func newOlderEraPeers() *olderEraPeers {
	copies, err := simplelru.NewLRU[string, int](maxOlderEraPeers, nil)
	if err != nil {
		panic(err) // only if maxOlderEraPeers is not positive
	}
	return &olderEraPeers{copies: copies}
}

// adjust returns the version from which a peer's query is answered, given the version of
// this node's copy: that of the query, but for a peer that does not understand eras its
// revision in the era of the copy.
func (p *olderEraPeers) adjust(peer string, query, known catalog.Version) catalog.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case query.IsZero():
		return query // a node without a copy
	case query.Era >= known.Era:
		p.copies.Remove(peer)
		return query
	}
	count, _ := p.copies.Get(peer)
	if count >= maxOlderEraCopies {
		return catalog.Version{Era: known.Era, Revision: query.Revision}
	}
	p.copies.Add(peer, count+1)
	return query
}
