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

// storm is one caller that re-sends at once beside innocent ones.
type storm struct {
	name     string
	priority config.Priority
	latency  time.Duration
	// innocents send their rate each, together within their fair shares.
	innocents int
	rate      float64
	// merged makes all share one name, which shows what fairness is worth.
	merged bool
}

const (
	stormClients = 50
	stormSpan    = 2 * time.Second
	stormNetwork = time.Millisecond
	stormDelay   = 200 * time.Millisecond
)

// served is how much of the innocents' demand was met.
type served struct {
	mu           sync.Mutex
	demand, done int
}

func (s *served) count(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand++
	if ok {
		s.done++
	}
}

// attempt sends one request that the server answers after latency.
func attempt(g *Gate, r Request, latency time.Duration) bool {
	p, err := g.Admit(context.Background(), r)
	if err != nil {
		return false
	}
	time.Sleep(latency)
	p.Done(Outcome{Kind: OutcomeGood, Latency: latency, BootID: testBoot})
	return true
}

// exponential returns a seeded source of spans with a given mean.
func exponential(seed int) func(mean time.Duration) time.Duration {
	rng := rand.New(rand.NewPCG(1, uint64(seed)))
	return func(mean time.Duration) time.Duration {
		return time.Duration(rng.ExpFloat64() * float64(mean))
	}
}

// share runs the storm and returns the met share of the innocents' demand. The
// innocents have asked before: a caller that is new while another one holds
// every slot has to wait until the first of them is free.
func (s storm) share(g *Gate) float64 {
	end := time.Now().Add(stormSpan)
	var clients sync.WaitGroup
	for i := range stormClients {
		clients.Go(func() {
			random := exponential(i)
			time.Sleep(stormDelay)
			for time.Now().Before(end) {
				attempt(g, Request{Caller: "storm", Class: "storm", Priority: s.priority}, random(s.latency))
				time.Sleep(stormNetwork)
			}
		})
	}
	var result served
	for i := range s.innocents {
		caller := string(rune('a' + i))
		if s.merged {
			caller = "storm"
		}
		clients.Go(func() {
			random := exponential(stormClients + i)
			for time.Now().Before(end) {
				time.Sleep(random(time.Duration(float64(time.Second) / s.rate)))
				latency := random(testLatency)
				clients.Go(func() {
					r := Request{Caller: caller, Deadline: time.Now().Add(500 * time.Millisecond)}
					result.count(attempt(g, r, latency))
				})
			}
		})
	}
	clients.Wait()
	return float64(result.done) / float64(result.demand)
}

var storms = []storm{
	{name: "same cost", latency: testLatency, innocents: 3, rate: 200},
	{name: "urgent", priority: config.PriorityHigh, latency: testLatency, innocents: 3, rate: 200},
	{name: "slow", latency: 50 * testLatency, innocents: 3, rate: 20},
	{name: "very slow", latency: 500 * testLatency, innocents: 1, rate: 20},
	{name: "one innocent", latency: testLatency, innocents: 1, rate: 400},
}

func TestStormOfOneCallerCostsThatCaller(t *testing.T) {
	for _, s := range storms {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				g := New(testConfig(), nil)
				random := exponential(0)
				warmUpWith(g, func() Outcome {
					return Outcome{Kind: OutcomeGood, Latency: random(testLatency), BootID: testBoot}
				})
				share := s.share(g)
				t.Logf("innocent callers got %.3f of their demand", share)
				Expect(share).To(BeNumerically(">=", 0.95),
					"epoch %d, last doubt: %q", g.limiter.epoch, g.limiter.cause)
				Expect(g.Load().Running + g.Load().Queued).To(BeZero())
			})
		})
	}
}

// TestStormWithoutFairness shows that the storm is one: with all requests under
// one name, the innocents lose.
func TestStormWithoutFairness(t *testing.T) {
	for _, s := range storms {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				g := New(testConfig(), nil)
				random := exponential(0)
				warmUpWith(g, func() Outcome {
					return Outcome{Kind: OutcomeGood, Latency: random(testLatency), BootID: testBoot}
				})
				s.merged = true
				share := s.share(g)
				t.Logf("innocent callers got %.3f of their demand", share)
				Expect(share).To(BeNumerically("<", 0.9))
			})
		})
	}
}
