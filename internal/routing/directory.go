package routing

import (
	"slices"
	"sync"
	"sync/atomic"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// DirectoryConfig describes the location of the sender and its load balancing.
type DirectoryConfig struct {
	// Place is the region and data centre of the sender. Required.
	Place datacentre.Place
	// Host is the sender's own host. Required.
	Host host.ID
	// Pool is the configuration of each pool.
	Pool PoolConfig
}

// ServiceServers lists the servers of a service.
type ServiceServers struct {
	// Service is the name of the service.
	Service string
	// Servers lists its backend servers, including those that are leaving.
	Servers []Server
	// Senders overrides PoolConfig.Senders for this service unless it is 0.
	Senders int
}

// Directory holds the pools of all services. A reader does one atomic load; an
// update builds a new set of pools without blocking requests.
type Directory struct {
	config   DirectoryConfig
	registry *StatsRegistry
	mu       sync.Mutex // serialises updates
	view     atomic.Pointer[directoryView]
}

// directoryView is an immutable snapshot of a Directory.
type directoryView struct {
	pools map[string]*Pool
	hosts map[host.ID]*Server
}

// NewDirectory returns an empty directory that takes the Stats of hosts from
// registry.
func NewDirectory(cfg DirectoryConfig, registry *StatsRegistry) *Directory {
	d := &Directory{config: cfg, registry: registry}
	d.view.Store(&directoryView{})
	return d
}

// Update replaces the servers of all services. It keeps the pool of a service
// whose servers and settings did not change.
func (d *Directory) Update(services []ServiceServers) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	next := &directoryView{
		pools: make(map[string]*Pool, len(services)),
		hosts: map[host.ID]*Server{},
	}
	keep := map[host.ID]struct{}{}
	for _, s := range services {
		servers := slices.Clone(s.Servers)
		for i := range servers {
			servers[i].Stats = d.registry.Stats(servers[i].Host)
			next.hosts[servers[i].Host] = &servers[i]
			keep[servers[i].Host] = struct{}{}
		}
		next.pools[s.Service] = d.poolFor(old.pools[s.Service], servers, s.Senders)
	}
	d.view.Store(next)
	d.registry.Retain(keep)
}

func (d *Directory) poolFor(old *Pool, servers []Server, senders int) *Pool {
	cfg := d.config.Pool
	if senders > 0 {
		cfg.Senders = senders
	}
	if old != nil && old.config == cfg.withDefaults() && slices.Equal(old.given, servers) {
		return old
	}
	return NewPool(d.config.Place, d.config.Host, servers, cfg)
}

// Pool returns the pool of a service, or false if the service is not listed.
func (d *Directory) Pool(service string) (*Pool, bool) {
	p, ok := d.view.Load().pools[service]
	return p, ok
}

// Server returns a listed server by its host, even if it is leaving: a keyed
// request is sent to the host that owns its key.
func (d *Directory) Server(id host.ID) (*Server, bool) {
	s, ok := d.view.Load().hosts[id]
	return s, ok
}
