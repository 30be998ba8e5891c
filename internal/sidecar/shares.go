package sidecar

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragefall/internal/mesh"
)

// trafficSplitter distributes the requests of split routes over services. Each node
// does so independently, by smooth weighted round robin from a random start, so that
// every run of requests follows the weights.
type trafficSplitter struct {
	mu     sync.Mutex
	routes *simplelru.LRU[string, *splitState]
}

// maxTrackedSplits bounds the split routes whose state is kept.
const maxTrackedSplits = 256

// splitState is the round-robin state of one split route.
type splitState struct {
	// currentWeights holds the current weight of each destination; they add up to 0.
	currentWeights []float64
	split          []mesh.Destination
}

func newTrafficSplitter() *trafficSplitter {
	routes, err := simplelru.NewLRU[string, *splitState](maxTrackedSplits, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &trafficSplitter{routes: routes}
}

// pick returns the service for the next request of a route.
func (s *trafficSplitter) pick(route *mesh.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.routes.Get(route.Name)
	if !ok || !sameSplit(t.split, route.Destinations) {
		t = newSplitState(route.Destinations)
		s.routes.Add(route.Name, t)
	}
	return t.next()
}

// peek returns the service that pick would return next, without counting a request. It
// reports false while no request of the route was counted, since the first service is
// random then; it returns the one with the largest weight in that case.
func (s *trafficSplitter) peek(route *mesh.Route) (string, bool) {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.routes.Peek(route.Name)
	if !ok || !sameSplit(t.split, route.Destinations) {
		fresh := splitState{split: route.Destinations, currentWeights: make([]float64, len(route.Destinations))}
		return fresh.next(), false
	}
	copied := splitState{split: t.split, currentWeights: slices.Clone(t.currentWeights)}
	return copied.next(), true
}

func newSplitState(split []mesh.Destination) *splitState {
	t := &splitState{split: split, currentWeights: make([]float64, len(split))}
	total := totalWeight(split)
	for range rand.IntN(max(int(total), 1)) {
		t.next()
	}
	return t
}

func (t *splitState) next() string {
	best := 0
	for i, share := range t.split {
		t.currentWeights[i] += share.Weight
		if t.currentWeights[i] > t.currentWeights[best] {
			best = i
		}
	}
	t.currentWeights[best] -= totalWeight(t.split)
	return t.split[best].Service
}

func totalWeight(split []mesh.Destination) float64 {
	total := 0.0
	for _, share := range split {
		total += share.Weight
	}
	return total
}

func sameSplit(a, b []mesh.Destination) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
