package membership

import (
	"cmp"
	"slices"

	"boragefall/internal/host"
)

// Member is one usable host as this node sees it.
type Member struct {
	host.Listing
	// Record is what the host last said of itself; its Boot is 0 when the host
	// has not been heard of.
	Record host.Record
	// Leaving reports that the host is to receive no new work: the host list,
	// the configuration or the host itself says so.
	Leaving bool
	// Suspect reports that this node failed to reach the host a short while ago.
	Suspect bool
	// Unlisted reports that the host list does not name the host.
	Unlisted bool
}

// View is one immutable state of the membership.
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

// ForService returns the members that serve a service, sorted by ID. The slice
// is shared and is not to be changed.
func (v *View) ForService(service string) []Member {
	return v.byService[service]
}

// Find returns the member with an ID.
func (v *View) Find(id host.ID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id host.ID) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Listings returns the entries of all members.
func (v *View) Listings() []host.Listing {
	out := make([]host.Listing, 0, len(v.Members))
	for _, m := range v.Members {
		out = append(out, m.Listing)
	}
	return out
}

// ViewListener hears of each new view, in order.
type ViewListener interface {
	ViewChanged(view *View)
}
