// Package copytree selects the upstream node whose copy of the platform's store a node
// follows. A few nodes of the fleet, the readers, read the store; some nodes of each
// data centre, the relays, follow a reader; all other nodes follow a relay of their data
// centre. The load on the store is therefore independent of the size of the fleet, and
// no copy is more than three hops from the store. Each node computes its position in the
// tree from the nodes that it knows, without coordination.
package copytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerCount is the number of nodes that read the store. There are two, in
	// different data centres, so that one remains when the other fails.
	readerCount = 2
	// followersPerRelay is the number of nodes of a data centre per relay. Each follower
	// polls its relay a few times per second and receives every configuration from it,
	// over a link that may have a hundredth of the bandwidth of other links.
	followersPerRelay = 16
)

// Member is a node of the fleet.
type Member struct {
	// Address is the address at which it accepts links, IP:port.
	Address string
	// DataCentre is the data centre of its host.
	DataCentre string
}

// Upstream is a node whose copy another node follows.
type Upstream struct {
	// Address is the address at which it accepts links, IP:port.
	Address string
	// Hops is the number of copies between the store and the follower: 1 for a
	// follower of a reader, 2 for a follower of a relay.
	Hops int
}

// Ranking is an order of the nodes of a fleet that every node computes identically. It
// is immutable.
type Ranking struct {
	members []Member
	// local holds the members of each data centre, in the same order.
	local map[string][]Member
}

// NewRanking orders members by a hash of their addresses, which distributes the roles
// evenly over the hosts.
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

// Upstream returns the node that self follows, chosen from the usable members, and false
// when self has to read the store. An unusable node reads the store only when there is
// no usable member.
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

// readers returns the first usable members, from different data centres if possible.
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

// relaysOf returns the relays of a data centre: its readers, then its first usable
// members.
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

// nearestReader returns a reader of self's data centre if there is one, else the reader
// that self's hash selects.
func nearestReader(self Member, reading []Member) Member {
	for _, m := range reading {
		if m.DataCentre == self.DataCentre {
			return m
		}
	}
	return reading[xxhash.Sum64String(self.Address)%uint64(len(reading))]
}
