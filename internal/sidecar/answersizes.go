package sidecar

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// rememberedAnswers bounds the routes whose answers' size is remembered.
	rememberedAnswers = 256
	// assumedAnswer is the size of an answer on a route that has had none, in bytes.
	assumedAnswer = 1536
	// answerWeight is the weight of the latest answer in a route's mean size.
	answerWeight = 0.1
)

// answerSizes remembers how large the answers of each route are: what crosses a data
// centre's boundary is billed. It is safe for concurrent use.
type answerSizes struct {
	mu    sync.Mutex
	bytes *simplelru.LRU[string, float64]
}

func newAnswerSizes() *answerSizes {
	bytes, err := simplelru.NewLRU[string, float64](rememberedAnswers, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &answerSizes{bytes: bytes}
}

// of returns the size that an answer of a route is expected to have, in bytes.
func (a *answerSizes) of(route string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mean, ok := a.bytes.Get(route); ok {
		return int64(mean)
	}
	return assumedAnswer
}

// add notes the size of an answer.
func (a *answerSizes) add(route string, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, ok := a.bytes.Get(route)
	if !ok {
		mean = float64(bytes)
	}
	a.bytes.Add(route, mean+answerWeight*(float64(bytes)-mean))
}
