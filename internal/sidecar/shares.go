package sidecar

import (
	"math"
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

const (
	// maxTrackedSplits bounds the split routes whose state is kept.
	maxTrackedSplits = 256
	// maxStartRounds bounds the choices that a random start skips; it is far more than the
	// usual weights add up to.
	maxStartRounds = 1024
)

// splitState is the round-robin state of one split route.
type splitState struct {
	// split is that of the route's configuration. weights are its weights as scaledWeights
	// returns them, and total is their sum.
	split   []mesh.Destination
	weights []float64
	total   float64
	// currentWeights holds the current weight of each destination; they add up to 0.
	currentWeights []float64
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
		t.skipRandom()
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
		return newSplitState(route.Destinations).next(), false
	}
	copied := *t
	copied.currentWeights = slices.Clone(t.currentWeights)
	return copied.next(), true
}

func newSplitState(split []mesh.Destination) *splitState {
	t := &splitState{split: split, weights: scaledWeights(split), currentWeights: make([]float64, len(split))}
	for _, weight := range t.weights {
		t.total += weight
	}
	return t
}

// skipRandom skips a random number of choices.
func (t *splitState) skipRandom() {
	for range rand.IntN(maxStartRounds) {
		t.next()
	}
}

func (t *splitState) next() string {
	best := 0
	for i, weight := range t.weights {
		t.currentWeights[i] += weight
		if t.currentWeights[i] > t.currentWeights[best] {
			best = i
		}
	}
	t.currentWeights[best] -= t.total
	return t.split[best].Service
}

// scaledWeights returns weights with the proportions of a split's. They are at most 1, so
// that sums neither overflow nor lose the small ones. A negative weight counts as 0.
func scaledWeights(split []mesh.Destination) []float64 {
	weights := make([]float64, len(split))
	largest := 0.0
	for i, destination := range split {
		weights[i] = max(destination.Weight, 0)
		largest = max(largest, weights[i])
	}
	_, exponent := math.Frexp(largest)
	for i := range weights {
		weights[i] = math.Ldexp(weights[i], -exponent) // a power of two changes no proportion
	}
	return weights
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
