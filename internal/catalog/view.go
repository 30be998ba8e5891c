package catalog

import (
	"time"

	"boragefall/internal/mesh"
)

// Listing is a server in a View.
type Listing struct {
	*mesh.Server
	// Version is the store's version at the last change of the server's record.
	Version Version
	// ColdUntil is the end of the warm-up time that the server registered.
	ColdUntil time.Time
	// FirstSeen is the time at which this node first saw this incarnation.
	FirstSeen time.Time
	// Suspect reports that the record ended during an outage of the store or during
	// the grace period after it.
	Suspect bool
	// Leaving reports that the server itself stated that it leaves.
	Leaving bool
	// Withheld reports that this incarnation was known to be draining, leaving or gone
	// before the store was restored, and that its record may be older than that.
	Withheld bool
}

// AcceptsRequests reports whether the server may receive new requests, as far as its state
// is concerned.
func (l *Listing) AcceptsRequests() bool {
	return l.State == mesh.ServerReady && !l.Leaving && !l.Withheld
}

// View is an immutable snapshot of the catalog.
type View struct {
	// Version is the store version of the snapshot.
	Version Version
	// Config is nil before the first configuration.
	Config *mesh.Config
	// Routes matches routes of Config; nil before the first.
	Routes *mesh.RouteTable
	// Servers holds all servers, including draining and evacuated ones.
	Servers map[mesh.ServerID]*Listing
	// Usable holds, by service, the servers that may receive new requests.
	Usable map[string][]*Listing
	// Evacuated holds the data centres that receive no new requests.
	Evacuated map[string]bool
	// byAddress holds the newest server at each address.
	byAddress map[string]*Listing
}

// IsUsable reports whether a server may receive new requests.
func (v *View) IsUsable(id mesh.ServerID) bool {
	l, ok := v.Servers[id]
	return ok && v.isUsable(l)
}

func (v *View) isUsable(l *Listing) bool {
	return l.AcceptsRequests() && !v.Evacuated[l.DataCentre] && v.byAddress[l.Address] == l
}

// ServerAt returns the server that listens at an address, or nil. The record of a crashed
// server remains until it expires, so the newest record at an address is the valid one.
func (v *View) ServerAt(address string) *Listing {
	return v.byAddress[address]
}

func isNewer(a, b *Listing) bool {
	if a.StartUnixMillis != b.StartUnixMillis {
		return a.StartUnixMillis > b.StartUnixMillis
	}
	return a.Version.IsNewerThan(b.Version)
}
