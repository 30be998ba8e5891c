package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/config"
)

// retryStorm is a load in which one caller retries at once beside well-behaved callers.
type retryStorm struct {
	name     string
	priority config.Priority
	latency  time.Duration
	// wellBehaved is the number of well-behaved callers. Each sends rate requests a
	// second, and together they stay within their fair shares.
	wellBehaved int
	rate        float64
	// sharedCaller makes all requests use one caller name, which disables fairness.
	sharedCaller bool
}

const (
	stormClientCount = 50
	stormDuration    = 2 * time.Second
	stormRetryDelay  = time.Millisecond
	stormStartDelay  = 200 * time.Millisecond
)

// demandCount counts the requests of the well-behaved callers and those that were served.
type demandCount struct {
	mu          sync.Mutex
	demand, met int
}

func (s *demandCount) count(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand++
	if ok {
		s.met++
	}
}

// sendRequest sends one request that the server answers after latency.
func sendRequest(g *Gate, r Request, latency time.Duration) bool {
	p, err := g.Admit(context.Background(), r)
	if err != nil {
		return false
	}
	time.Sleep(latency)
	p.Done(Outcome{Kind: OutcomeSuccess, Latency: latency, BootID: testBoot})
	return true
}

// exponential returns a seeded source of exponentially distributed durations with a given
// mean.
func exponential(seed int) func(mean time.Duration) time.Duration {
	rng := rand.New(rand.NewPCG(1, uint64(seed)))
	return func(mean time.Duration) time.Duration {
		return time.Duration(rng.ExpFloat64() * float64(mean))
	}
}

// metShare runs the storm and returns the share of the well-behaved callers' requests
// that was served. These callers have sent requests before the storm: a new caller would
// have to wait for the first free slot while another caller holds them all.
func (s retryStorm) metShare(g *Gate) float64 {
	end := time.Now().Add(stormDuration)
	var clients sync.WaitGroup
	for i := range stormClientCount {
		clients.Go(func() {
			random := exponential(i)
			time.Sleep(stormStartDelay)
			for time.Now().Before(end) {
				sendRequest(g, Request{Caller: "storm", Class: "storm", Priority: s.priority}, random(s.latency))
				time.Sleep(stormRetryDelay)
			}
		})
	}
	var result demandCount
	for i := range s.wellBehaved {
		caller := string(rune('a' + i))
		if s.sharedCaller {
			caller = "storm"
		}
		clients.Go(func() {
			random := exponential(stormClientCount + i)
			for time.Now().Before(end) {
				time.Sleep(random(time.Duration(float64(time.Second) / s.rate)))
				latency := random(testLatency)
				clients.Go(func() {
					r := Request{Caller: caller, Deadline: time.Now().Add(500 * time.Millisecond)}
					result.count(sendRequest(g, r, latency))
				})
			}
		})
	}
	clients.Wait()
	return float64(result.met) / float64(result.demand)
}

var retryStorms = []retryStorm{
	{name: "same cost", latency: testLatency, wellBehaved: 3, rate: 200},
	{name: "urgent", priority: config.PriorityHigh, latency: testLatency, wellBehaved: 3, rate: 200},
	{name: "slow", latency: 50 * testLatency, wellBehaved: 3, rate: 20},
	{name: "very slow", latency: 500 * testLatency, wellBehaved: 1, rate: 20},
	{name: "one well-behaved caller", latency: testLatency, wellBehaved: 1, rate: 400},
}

func TestRetryStormAffectsOnlyItsCaller(t *testing.T) {
	for _, s := range retryStorms {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				g := New(testConfig(), nil)
				random := exponential(0)
				warmUpWith(g, func() Outcome {
					return Outcome{Kind: OutcomeSuccess, Latency: random(testLatency), BootID: testBoot}
				})
				share := s.metShare(g)
				t.Logf("well-behaved callers got %.3f of their demand", share)
				Expect(share).To(BeNumerically(">=", 0.95),
					"epoch %d, last cause: %q", g.limiter.epoch, g.limiter.cause)
				Expect(g.Load().Running + g.Load().Queued).To(BeZero())
			})
		})
	}
}

// TestRetryStormWithoutFairness checks that the storm is severe enough to need fairness:
// when all requests use one caller name, the well-behaved callers lose part of their
// demand.
func TestRetryStormWithoutFairness(t *testing.T) {
	for _, s := range retryStorms {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				g := New(testConfig(), nil)
				random := exponential(0)
				warmUpWith(g, func() Outcome {
					return Outcome{Kind: OutcomeSuccess, Latency: random(testLatency), BootID: testBoot}
				})
				s.sharedCaller = true
				share := s.metShare(g)
				t.Logf("well-behaved callers got %.3f of their demand", share)
				Expect(share).To(BeNumerically("<", 0.9))
			})
		})
	}
}
