package sidecar

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTrackedRoutes bounds the routes whose answers' size is remembered.
	maxTrackedRoutes = 256
	// defaultAnswerBytes is the size of an answer on a route that has had none, in bytes.
	defaultAnswerBytes = 1536
	// answerSizeWeight is the weight of the latest answer in a route's mean size.
	answerSizeWeight = 0.1
)

// answerSizes remembers how large the answers of each route are: what crosses a data
// centre's boundary is billed. It is safe for concurrent use.
type answerSizes struct {
	mu        sync.Mutex
	meanBytes *simplelru.LRU[string, float64]
}

func newAnswerSizes() *answerSizes {
	means, err := simplelru.NewLRU[string, float64](maxTrackedRoutes, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &answerSizes{meanBytes: means}
}

// estimate returns the size that an answer estimate a route is expected to have, in bytes.
func (a *answerSizes) estimate(route string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mean, ok := a.meanBytes.Get(route); ok {
		return int64(mean)
	}
	return defaultAnswerBytes
}

// observe notes the size of an answer.
func (a *answerSizes) observe(route string, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.meanBytes.Get(route)
	if !ok {
		mean = float64(bytes)
	}
	a.meanBytes.Add(route, mean+answerSizeWeight*(float64(bytes)-mean))
}
