// Package copytree says whose copy of the platform's store a node follows. A few
// nodes of the whole fleet, the readers, read the store; some of each data centre,
// the relays, follow a reader; all others follow a relay of their data centre. So
// the store's calls don't grow with the fleet, and no copy is more than three steps
// old. Every node works its place out by itself from the nodes that it knows.
package copytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerCount is the number of nodes that read the store. Two, in different data
	// centres, so that the loss of either leaves one.
	readerCount = 2
	// followersPerRelay is the number of nodes of a data centre for each relay. Each asks
	// it a few times a second and gets every configuration from it, over a link that
	// may be a hundred times narrower than others'.
	followersPerRelay = 16
)

// Member is a node of the fleet.
type Member struct {
	// Address is where its links are taken, IP:port.
	Address string
	// DataCentre is where it stands.
	DataCentre string
}

// Upstream is a node whose copy another follows.
type Upstream struct {
	// Address is where its links are taken, IP:port.
	Address string
	// Hops is the number of copies between the store and the follower: 1 behind a
	// reader, 2 behind a relay.
	Hops int
}

// Ranking holds the nodes of a fleet in an order that all of them agree on. It is
// immutable.
type Ranking struct {
	members []Member
	// local are the members by their data centre, in the same order.
	local map[string][]Member
}

// NewRanking orders members by a hash, which spreads the work over the hosts.
func NewRanking(members []Member) Ranking {
	type ranked struct {
		Member
		hash uint64
	}
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{Member: m, hash: xxhash.Sum64String(m.Address)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Address, b.Address))
	})
	r := Ranking{members: make([]Member, len(order)), local: map[string][]Member{}}
	for i := range order {
		m := order[i].Member
		r.members[i] = m
		r.local[m.DataCentre] = append(r.local[m.DataCentre], m)
	}
	return r
}

// Upstream returns whose copy a node follows when only usable members count, and
// false when the node is to read the store. A node that is no usable member itself
// is never to read unless there is no usable member at all.
func (r Ranking) Upstream(self Member, usable func(address string) bool) (Upstream, bool) {
	activeReaders := r.readers(usable)
	if slices.Contains(activeReaders, self) || len(activeReaders) == 0 {
		return Upstream{}, false
	}
	relays := relaysOf(r.local[self.DataCentre], activeReaders, usable)
	if len(relays) == 0 || slices.Contains(relays, self) {
		return Upstream{Address: nearestReader(self, activeReaders).Address, Hops: 1}, true
	}
	relay := relays[xxhash.Sum64String(self.Address)%uint64(len(relays))]
	if slices.Contains(activeReaders, relay) {
		return Upstream{Address: relay.Address, Hops: 1}, true
	}
	return Upstream{Address: relay.Address, Hops: 2}, true
}

// readers returns the first usable members, of different data centres if there are
// several.
func (r Ranking) readers(usable func(address string) bool) []Member {
	var chosen []Member
	var spare *Member
	for i, m := range r.members {
		if len(chosen) == readerCount {
			break
		}
		if !usable(m.Address) {
			continue
		}
		sameDataCentre := slices.ContainsFunc(chosen, func(o Member) bool { return o.DataCentre == m.DataCentre })
		switch {
		case !sameDataCentre:
			chosen = append(chosen, m)
		case spare == nil:
			spare = &r.members[i]
		}
	}
	if spare != nil && len(chosen) < readerCount {
		chosen = append(chosen, *spare)
	}
	return chosen
}

// relaysOf returns the relays of a data centre: its readers, then its first members.
func relaysOf(local, activeReaders []Member, usable func(address string) bool) []Member {
	wanted := 1 + len(local)/followersPerRelay
	var relays []Member
	for _, m := range activeReaders {
		if slices.Contains(local, m) {
			relays = append(relays, m)
		}
	}
	for _, m := range local {
		if len(relays) >= wanted {
			break
		}
		if usable(m.Address) && !slices.Contains(relays, m) {
			relays = append(relays, m)
		}
	}
	return relays
}

// nearestReader returns a reader of self's data centre, or one that self's hash draws.
func nearestReader(self Member, reading []Member) Member {
	for _, m := range reading {
		if m.DataCentre == self.DataCentre {
			return m
		}
	}
	return reading[xxhash.Sum64String(self.Address)%uint64(len(reading))]
}
