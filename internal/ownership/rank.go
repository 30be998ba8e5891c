package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/host"
)

// member is a host of a view with the hash of its name.
type member struct {
	id   host.ID
	hash uint64
}

func newMember(id host.ID) member {
	return member{id: id, hash: xxhash.Sum64String(string(id))}
}

// Rank orders hosts for a key by rendezvous hash (Thaler and Ravishankar, 1998), the
// owner first. The argument is not changed.
func Rank(callerKey string, hosts []host.ID) []host.ID {
	key := xxhash.Sum64String(callerKey)
	members := make([]member, len(hosts))
	for i, id := range hosts {
		members[i] = newMember(id)
	}
	slices.SortFunc(members, func(a, b member) int {
		if ranksBefore(key, a, b) {
			return -1
		}
		return 1
	})
	ranked := make([]host.ID, len(members))
	for i, m := range members {
		ranked[i] = m.id
	}
	return ranked
}

// ranksBefore reports whether a ranks before b for the hash of a key.
func ranksBefore(key uint64, a, b member) bool {
	weightA, weightB := weight(key, a), weight(key, b)
	if weightA != weightB {
		return weightA > weightB
	}
	return a.id < b.id
}

// weight mixes two hashes with the finaliser of SplitMix64 (Steele, Lea and Flood,
// 2014).
func weight(key uint64, m member) uint64 {
	z := key ^ m.hash*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
