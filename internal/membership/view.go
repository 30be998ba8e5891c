package membership

import (
	"cmp"
	"slices"

	"boragefall/internal/host"
)

// Member is one usable host as this node sees it.
type Member struct {
	host.Listing
	// Record is the newest known record of the host; its BootMillis is 0 when no record
	// of the host was received.
	Record host.Record
	// Leaving reports that the host is to receive no new work because the host list, the
	// configuration or the host's own record marks it as leaving.
	Leaving bool
	// Suspect reports that this node failed to reach the host within SuspicionTimeout and
	// has had no answer since.
	Suspect bool
	// Unlisted reports that the host is missing from the host list.
	Unlisted bool
}

// View is an immutable snapshot of the membership.
type View struct {
	// Members is sorted by ID.
	Members []Member
	// ListRevision is the revision of the host list, 0 when there is none.
	ListRevision uint64

	byService map[string][]Member
}

func newView(members []Member, revision uint64) *View {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	v := &View{Members: members, ListRevision: revision, byService: map[string][]Member{}}
	for _, m := range members {
		v.byService[m.Service] = append(v.byService[m.Service], m)
	}
	return v
}

// ForService returns the members that run the service, sorted by ID. The slice is shared
// and must not be modified.
func (v *View) ForService(service string) []Member {
	return v.byService[service]
}

// Find returns the member with the ID and reports whether there is one.
func (v *View) Find(id host.ID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id host.ID) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Listings returns the host list entries of all members, sorted by ID.
func (v *View) Listings() []host.Listing {
	out := make([]host.Listing, 0, len(v.Members))
	for _, m := range v.Members {
		out = append(out, m.Listing)
	}
	return out
}

// ViewListener is notified of view changes, in order. Views that are replaced before the
// notification are skipped.
type ViewListener interface {
	ViewChanged(view *View)
}
