package routing

import (
	"sync"

	"boragefall/internal/host"
)

// StatsRegistry keeps the Stats of hosts across rebuilds of the pools. Its lock
// is taken when views change, never while a request is routed.
type StatsRegistry struct {
	mu    sync.Mutex
	stats map[host.ID]*Stats
}

// NewStatsRegistry returns an empty registry.
func NewStatsRegistry() *StatsRegistry {
	return &StatsRegistry{stats: map[host.ID]*Stats{}}
}

// Stats returns the Stats of a host and creates them if there are none.
func (b *StatsRegistry) Stats(id host.ID) *Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats[id]
	if s == nil {
		s = &Stats{}
		b.stats[id] = s
	}
	return s
}

// Retain drops the hosts that are not in keep and have no outstanding requests.
func (b *StatsRegistry) Retain(keep map[host.ID]struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.stats {
		if _, ok := keep[id]; !ok && s.Outstanding() == 0 {
			delete(b.stats, id)
		}
	}
}
