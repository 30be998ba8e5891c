package sidecar

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/mesh"
)

func TestTrafficSplitFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	s := newTrafficSplitter()
	route := &mesh.Route{Name: "r", Destinations: []mesh.Destination{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	for range 20 {
		counts := map[string]int{}
		for range 100 {
			counts[s.pick(route)]++
		}
		g.Expect(counts).To(Equal(map[string]int{"a": 70, "b": 20, "c": 10}))
	}
	changed := &mesh.Route{Name: "r", Destinations: []mesh.Destination{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for range 100 {
		counts[s.pick(changed)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 50, "b": 50}))
}

// Guards against work sized by the weights: those that add up to 1e18 kept the lock of all
// splits for good, and no request of a split route was served.
func TestLargeWeightsHoldNoRequest(t *testing.T) {
	const requests, bound = 1000, time.Second
	for _, weights := range [][]float64{{1e18, 1}, {1e9, 1}, {1e300, 1e300}, {math.MaxFloat64, math.MaxFloat64}} {
		g := NewWithT(t)
		s, route := newTrafficSplitter(), splitRoute(weights...)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range requests {
				s.pick(route)
			}
		}()
		g.Eventually(ended, bound).Should(BeClosed(), "weights %v", weights)
	}
}

// Guards against sums of weights that overflow or vanish, and against negative weights: a
// service gets its share of any number of requests, to within one request for each other.
func TestAnyWeightsAreFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests = 500
		scale := rapid.SampledFrom([]float64{1e-300, 1e-9, 1, 1e9, 1e18, 1e300}).Draw(t, "scale")
		parts := rapid.SliceOfN(rapid.IntRange(-3, 100), 2, 5).Draw(t, "parts")
		weights, total := make([]float64, len(parts)), 0.0
		for i, part := range parts {
			weights[i] = float64(part) * scale
			total += max(float64(part), 0)
		}
		if total == 0 {
			t.Skip("no service has a share")
		}
		s, route := newTrafficSplitter(), splitRoute(weights...)
		counts := map[string]int{}
		for range requests {
			counts[s.pick(route)]++
		}
		for i, part := range parts {
			share := requests * max(float64(part), 0) / total
			got := float64(counts[route.Destinations[i].Service])
			if math.Abs(got-share) > float64(len(parts)) || part <= 0 && got > 0 {
				t.Fatalf("weights %v: %v requests to destination %d, share %v", weights, got, i, share)
			}
		}
	})
}

// splitRoute returns a route that is split by weights over the services a, b, ...
func splitRoute(weights ...float64) *mesh.Route {
	route := &mesh.Route{Name: "r"}
	for i, weight := range weights {
		route.Destinations = append(route.Destinations, mesh.Destination{Service: string(rune('a' + i)), Weight: weight})
	}
	return route
}
