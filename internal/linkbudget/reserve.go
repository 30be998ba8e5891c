package linkbudget

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// spreadWeight is the weight of a run in the mean deviation. It is small: a few runs in
	// a hundred take many times as long, and each of them would otherwise take the capacity
	// of all that follow.
	spreadWeight = 1.0 / 64
	// minReserveShare and maxReserveShare bound the reserve as a share of the time until
	// the objective. The least one is for the transit to the caller; the largest one leaves
	// most of the time to the queue, without which the link is idle at times.
	minReserveShare, maxReserveShare = 1.0 / 5, 1.0 / 3
)

// Spreads tracks how much the run times of each route vary. It is safe for concurrent use.
type Spreads struct {
	mu     sync.Mutex
	routes *simplelru.LRU[string, answerTime]
}

// NewSpreads returns the spreads of unknown routes.
func NewSpreads() *Spreads {
	routes, err := simplelru.NewLRU[string, answerTime](maxTrackedRoutes, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Spreads{routes: routes}
}

// Observe records how long a run took.
func (s *Spreads) Observe(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.routes.Get(route)
	if !ok {
		known = answerTime{mean: took, deviation: took / answerTimeDeviations}
	}
	known.deviation += time.Duration(spreadWeight * float64((took-known.mean).Abs()-known.deviation))
	known.mean += time.Duration(spreadWeight * float64(took-known.mean))
	s.routes.Add(route, known)
}

// Reserve returns by how much earlier than its objective, remaining from now, a response
// should have been sent: as much as its run may take longer than usual.
func (s *Spreads) Reserve(route string, remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	least, most := minReserveShare*remaining.Seconds(), maxReserveShare*remaining.Seconds()
	known, ok := s.routes.Get(route)
	if !ok {
		return time.Duration(most * float64(time.Second))
	}
	seconds := min(max(answerTimeDeviations*known.deviation.Seconds(), least), most)
	return max(time.Duration(seconds*float64(time.Second)), 0)
}
