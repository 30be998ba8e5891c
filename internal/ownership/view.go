package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/host"
)

// View is the part of the host list that concerns one service.
type View struct {
	// Revision is the revision of the host list; 0 means no list.
	Revision uint64
	// Hosts lists the hosts of the service, in any order.
	Hosts []host.ID
}

// span is a range of consecutive revisions with the same set of hosts.
type span struct {
	first, last uint64
	hash        uint64 // of the set of hosts
	members     []member
	since       time.Time // when this host got the first revision
}

func newSpan(v View, now time.Time) *span {
	hosts := slices.Clone(v.Hosts)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	s := &span{first: v.Revision, last: v.Revision, hash: setHash(hosts), since: now}
	for _, id := range hosts {
		s.members = append(s.members, newMember(id))
	}
	return s
}

// setHash returns a hash that identifies a sorted set of hosts; it is never 0.
func setHash(sorted []host.ID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, id := range sorted {
		_, _ = digest.WriteString(string(id))
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64() | 1
}

// contains reports whether a reported view is in the span.
func (s *span) contains(revision, hash uint64) bool {
	return s.hash == hash && s.first <= revision && revision <= s.last
}

func (s *span) hasMember(id host.ID) bool {
	return slices.ContainsFunc(s.members, func(m member) bool { return m.id == id })
}

// quorum returns the smallest number of members that is more than half.
func (s *span) quorum() int {
	return len(s.members)/2 + 1
}

// blockingCount returns the smallest number of members that leaves no quorum among the
// others.
func (s *span) blockingCount() int {
	return (len(s.members) + 1) / 2
}
