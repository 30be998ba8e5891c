// Package host describes the hosts of the fleet: the platform's list of them
// and the records that hosts spread about themselves.
package host

import (
	"slices"

	"boragefall/internal/datacentre"
)

// ID names a host. It is stable while the host lives and never given again.
type ID string

// Listing is one entry of the platform's host list.
type Listing struct {
	// ID names the host.
	ID ID `json:"id"`
	// Address is the node's link address, IP:port.
	Address string `json:"address"`
	// Place is where the host stands.
	Place datacentre.Place `json:"place"`
	// Service is the service whose backend server stands beside the node.
	Service string `json:"service"`
	// Leaving reports that the host is to receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// List is one version of the platform's host list. It is immutable.
type List struct {
	// Revision orders the versions of the list.
	Revision uint64 `json:"revision"`
	// Hosts is sorted by ID.
	Hosts []Listing `json:"hosts"`
}

// Find returns the entry of a host.
func (l *List) Find(id ID) (Listing, bool) {
	if l == nil {
		return Listing{}, false
	}
	i, ok := slices.BinarySearchFunc(l.Hosts, id, compareListing)
	if !ok {
		return Listing{}, false
	}
	return l.Hosts[i], true
}

// ForService returns the entries of the hosts that serve a service.
func (l *List) ForService(service string) []Listing {
	if l == nil {
		return nil
	}
	var out []Listing
	for _, h := range l.Hosts {
		if h.Service == service {
			out = append(out, h)
		}
	}
	return out
}

// Sort orders the entries by ID, as Find expects.
func (l *List) Sort() {
	slices.SortFunc(l.Hosts, func(a, b Listing) int { return compareListing(a, b.ID) })
}

func compareListing(h Listing, id ID) int {
	switch {
	case h.ID < id:
		return -1
	case h.ID > id:
		return 1
	default:
		return 0
	}
}
