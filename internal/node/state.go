package node

import (
	"sync/atomic"
	"time"

	"boragefall/internal/backend"
	"boragefall/internal/caller"
	"boragefall/internal/config"
	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/intake"
	"boragefall/internal/membership"
	"boragefall/internal/routing"
)

// state holds the configuration and the host list in force, which the request path reads.
// Each is replaced atomically.
type state struct {
	self     host.Listing
	snapshot atomic.Pointer[config.Snapshot]
	view     atomic.Pointer[caller.View]
	list     atomic.Pointer[host.List]
	stopping atomic.Bool
}

func newState(self host.Listing) *state {
	s := &state{self: self}
	s.list.Store(&host.List{})
	return s
}

// version returns the configuration version in force, or the zero version if there is none.
func (s *state) version() config.Version {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Version
	}
	return config.Version{}
}

// leaving reports whether this host is to receive no new requests because of a planned stop
// or because the host list or the configuration marks it as leaving. The host's own
// record is ignored: it is derived from this result, so the mark would never clear.
func (s *state) leaving() bool {
	if s.stopping.Load() {
		return true
	}
	if listing, ok := s.list.Load().Find(s.self.ID); ok && listing.Leaving {
		return true
	}
	snapshot := s.snapshot.Load()
	if snapshot == nil {
		return false
	}
	document := snapshot.Document
	return document.Hosts[s.self.ID].Leaving || document.DataCentres[s.self.Place.DataCentre].Leaving
}

// applier applies accepted versions in the order of acceptance.
type applier struct {
	state    *state
	registry *membership.Registry
	gate     *gate.Gate
	backend  *backend.Client
	owner    *owner
	admitter *intake.Admitter
}

// ApplyConfig replaces the configuration. Each request sees either the old or
// the new configuration, never parts of both.
func (a *applier) ApplyConfig(snapshot *config.Snapshot) {
	table := routing.NewTable(snapshot.Document)
	a.state.snapshot.Store(snapshot)
	a.state.view.Store(&caller.View{Version: snapshot.Version, Table: table})
	if service, ok := snapshot.Document.Services[a.state.self.Service]; ok {
		a.gate.SetService(service)
		a.backend.SetConnections(service.Connections)
	}
	a.admitter.SetCallers(snapshot.Document.Callers)
	a.registry.ApplyConfig(time.Now(), snapshot)
	a.gate.SetLeaving(a.state.leaving())
}

// ApplyHostList replaces the host list.
func (a *applier) ApplyHostList(list *host.List) {
	a.state.list.Store(list)
	a.owner.setHostList(list, time.Now())
	a.registry.ApplyHostList(time.Now(), list)
	a.gate.SetLeaving(a.state.leaving())
}
