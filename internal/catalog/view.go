package catalog

import (
	"time"

	"boragefall/internal/mesh"
)

// Listing is a server in a View.
type Listing struct {
	*mesh.Server
	// Revision is the store's revision at the record's last change.
	Revision uint64
	// ColdUntil is when the server is warm by its own word.
	ColdUntil time.Time
	// FirstSeen is when this node first heard of this incarnation.
	FirstSeen time.Time
	// Suspect reports that the record went while the store was unreliable.
	Suspect bool
}

// View is an immutable copy of what the catalog knows.
type View struct {
	// Revision is the newest revision that was applied.
	Revision uint64
	// Config is nil before the first configuration.
	Config *mesh.Config
	// Routes matches routes of Config; nil before the first.
	Routes *mesh.RouteTable
	// Servers holds every known server, also draining and evacuated ones.
	Servers map[mesh.ServerID]*Listing
	// Usable holds, by service, the servers that may get new work.
	Usable map[string][]*Listing
	// Evacuated holds the data centres that are taken out.
	Evacuated map[string]bool
	// byAddress holds the newest server at each address.
	byAddress map[string]*Listing
}

// IsUsable reports whether a server may get new work by this view.
func (v *View) IsUsable(id mesh.ServerID) bool {
	l, ok := v.Servers[id]
	return ok && v.isUsable(l)
}

func (v *View) isUsable(l *Listing) bool {
	return l.State == mesh.ServerReady && !v.Evacuated[l.DataCentre] && v.byAddress[l.Address] == l
}

// ServerAt returns the server that listens at an address, or nil. Records of servers
// that crashed outlive them for a while; the newest one is right.
func (v *View) ServerAt(address string) *Listing {
	return v.byAddress[address]
}

func isNewer(a, b *Listing) bool {
	if a.StartUnixMillis != b.StartUnixMillis {
		return a.StartUnixMillis > b.StartUnixMillis
	}
	return a.Revision > b.Revision
}
