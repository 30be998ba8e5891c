// Package host defines the platform's host list and the records that hosts publish
// about themselves by gossip.
package host

import (
	"slices"

	"boragefall/internal/datacentre"
)

// ID identifies a host. It stays the same for the lifetime of the host and is never
// reused.
type ID string

// Listing is one entry of the platform's host list.
type Listing struct {
	// ID identifies the host.
	ID ID `json:"id"`
	// Address is the IP:port on which the host's node accepts links from other nodes.
	Address string `json:"address"`
	// Place is the host's region and data centre.
	Place datacentre.Place `json:"place"`
	// Service is the service whose backend server runs on the host.
	Service string `json:"service"`
	// Leaving reports that the host is being drained and must get no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// List is one revision of the platform's host list. It must not be modified once it is
// in use.
type List struct {
	// Revision is the list's revision; a newer list has a higher one.
	Revision uint64 `json:"revision"`
	// Hosts holds the entries, sorted by ID.
	Hosts []Listing `json:"hosts"`
}

// Find returns the entry of a host and whether the list contains it.
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

// ForService returns the entries of the hosts that run a service.
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

// Sort sorts the entries by ID, as Find requires.
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
