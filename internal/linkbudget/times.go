package linkbudget

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// answerTimeWeight and answerTimeDeviationWeight are the weights of the latest answer
	// in a route's moving mean and in its mean deviation.
	answerTimeWeight, answerTimeDeviationWeight = 1.0 / 8, 1.0 / 4
	// answerTimeDeviations is the number of mean deviations above the mean that an estimate
	// covers.
	answerTimeDeviations = 4
)

// Times estimates how long each route's requests take at most, as TCP estimates its
// retransmission timeout. It is safe for concurrent use.
type Times struct {
	mu     sync.Mutex
	routes *simplelru.LRU[string, answerTime]
}

type answerTime struct {
	mean, deviation time.Duration
}

// NewTimes returns estimates of unknown routes.
func NewTimes() *Times {
	routes, err := simplelru.NewLRU[string, answerTime](maxTrackedRoutes, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Times{routes: routes}
}

// Estimate returns the time in which a route's request is expected to be answered; false
// if none was answered so far.
func (a *Times) Estimate(route string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.routes.Get(route)
	return known.mean + answerTimeDeviations*known.deviation, ok
}

// Observe records how long a request took.
func (a *Times) Observe(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.routes.Get(route)
	if !ok {
		a.routes.Add(route, answerTime{mean: took, deviation: took / answerTimeDeviations})
		return
	}
	known.deviation += time.Duration(answerTimeDeviationWeight * float64((took-known.mean).Abs()-known.deviation))
	known.mean += time.Duration(answerTimeWeight * float64(took-known.mean))
	a.routes.Add(route, known)
}
