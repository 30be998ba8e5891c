package linkbudget

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTrackedRoutes bounds the routes whose answer size is tracked.
	maxTrackedRoutes = 256
	// defaultAnswerBytes is the estimate for a route without an answer so far.
	defaultAnswerBytes = 1536
	// answerSizeWeight is the weight of the latest answer in a route's moving average.
	answerSizeWeight = 0.1
)

// Sizes estimates the size of each route's answers, since traffic between data
// centres is billed. It is safe for concurrent use.
type Sizes struct {
	mu        sync.Mutex
	meanBytes *simplelru.LRU[string, float64]
}

// NewSizes returns estimates of unknown routes.
func NewSizes() *Sizes {
	means, err := simplelru.NewLRU[string, float64](maxTrackedRoutes, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Sizes{meanBytes: means}
}

// Estimate returns the expected size of a route's answer in bytes.
func (a *Sizes) Estimate(route string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mean, ok := a.meanBytes.Get(route); ok {
		return int64(mean)
	}
	return defaultAnswerBytes
}

// Observe records the size of an answer in bytes.
func (a *Sizes) Observe(route string, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.meanBytes.Get(route)
	if !ok {
		mean = float64(bytes)
	}
	a.meanBytes.Add(route, mean+answerSizeWeight*(float64(bytes)-mean))
}
