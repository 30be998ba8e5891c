package node

import (
	"time"

	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/membership"
	"boragefall/internal/routing"
)

// directoryFeed turns views of the membership into the directory of servers
// and tells the gate of fingerprints that other gates convicted.
type directoryFeed struct {
	self      host.Listing
	directory *routing.Directory
	gate      *gate.Gate
	convicted map[uint64]bool // told to the gate; only ViewChanged touches it
}

func newDirectoryFeed(self host.Listing, directory *routing.Directory, g *gate.Gate) *directoryFeed {
	return &directoryFeed{self: self, directory: directory, gate: g, convicted: map[uint64]bool{}}
}

// ViewChanged rebuilds the directory. It is called with one view after the
// other.
func (f *directoryFeed) ViewChanged(view *membership.View) {
	byService := map[string][]routing.Server{}
	for _, m := range view.Members {
		byService[m.Service] = append(byService[m.Service], serverOf(m))
	}
	services := make([]routing.ServiceServers, 0, len(byService))
	for service, servers := range byService {
		services = append(services, routing.ServiceServers{Service: service, Servers: servers})
	}
	f.directory.Update(services)
	f.convict(view)
}

func serverOf(m membership.Member) routing.Server {
	return routing.Server{
		Host:     m.ID,
		Address:  m.Address,
		Place:    m.Place,
		State:    m.Record.State,
		Capacity: int(m.Record.Capacity),
		Leaving:  m.Leaving,
		Suspect:  m.Suspect,
	}
}

// convict tells the gate of each fingerprint once while it stands in a record,
// so that the gate's own expiry holds.
func (f *directoryFeed) convict(view *membership.View) {
	present := map[uint64]bool{}
	for _, m := range view.ForService(f.self.Service) {
		if m.ID == f.self.ID {
			continue
		}
		for _, fingerprint := range m.Record.Quarantine {
			present[fingerprint] = true
			if !f.convicted[fingerprint] {
				f.gate.AddQuarantined(fingerprint, time.Now())
			}
		}
	}
	f.convicted = present
}
