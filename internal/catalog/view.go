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
	// Joined is when this node first heard of this incarnation.
	Joined time.Time
	// Suspect reports that the record went while the store was unreliable.
	Suspect bool
}

// View is an immutable copy of what the catalog knows.
type View struct {
	// Revision is the newest revision that was applied.
	Revision uint64
	// Config is nil before the first configuration.
	Config *mesh.Config
	// Table matches routes of Config; nil before the first.
	Table *mesh.Table
	// Servers holds every known server, also draining and evacuated ones.
	Servers map[mesh.ServerID]*Listing
	// Usable holds, by service, the servers that may get new work.
	Usable map[string][]*Listing
	// Evacuated holds the data centres that are taken out.
	Evacuated map[string]bool
}

// MayServe reports whether a server may get new work by this view.
func (v *View) MayServe(id mesh.ServerID) bool {
	l, ok := v.Servers[id]
	return ok && l.State == mesh.ServerReady && !v.Evacuated[l.DataCentre]
}

// At returns the server with an address that joined last, which is the one
// that listens there, or nil.
func (v *View) At(address string) *Listing {
	var last *Listing
	for _, l := range v.Servers {
		if l.Address != address {
			continue
		}
		if last == nil || newer(l, last) {
			last = l
		}
	}
	return last
}

func newer(a, b *Listing) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.Revision > b.Revision
}
