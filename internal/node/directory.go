package node

import (
	"time"

	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/membership"
	"boragefall/internal/routing"
)

// directoryUpdater updates the server directory from membership views and passes
// the fingerprints that other hosts' gates quarantined to the local gate.
type directoryUpdater struct {
	self        host.Listing
	directory   *routing.Directory
	gate        *gate.Gate
	quarantined map[uint64]bool // fingerprints passed to the gate; accessed by ViewChanged only
}

func newDirectoryUpdater(self host.Listing, directory *routing.Directory, g *gate.Gate) *directoryUpdater {
	return &directoryUpdater{self: self, directory: directory, gate: g, quarantined: map[uint64]bool{}}
}

// ViewChanged rebuilds the directory. Calls must not be concurrent.
func (f *directoryUpdater) ViewChanged(view *membership.View) {
	byService := map[string][]routing.Server{}
	for _, m := range view.Members {
		byService[m.Service] = append(byService[m.Service], serverOf(m))
	}
	services := make([]routing.ServiceServers, 0, len(byService))
	for service, servers := range byService {
		services = append(services, routing.ServiceServers{Service: service, Servers: servers})
	}
	f.directory.Update(services)
	f.addQuarantined(view)
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

// addQuarantined passes each fingerprint to the gate once for as long as a member's
// record lists it. Adding it with every view would renew a quarantine that has expired in
// the gate.
func (f *directoryUpdater) addQuarantined(view *membership.View) {
	present := map[uint64]bool{}
	for _, m := range view.ForService(f.self.Service) {
		if m.ID == f.self.ID {
			continue
		}
		for _, fingerprint := range m.Record.Quarantine {
			present[fingerprint] = true
			if !f.quarantined[fingerprint] {
				f.gate.AddQuarantined(fingerprint, time.Now())
			}
		}
	}
	f.quarantined = present
}
