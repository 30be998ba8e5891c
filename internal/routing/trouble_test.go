package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/host"
	"boragefall/internal/retry"
	"boragefall/internal/verdict"
)

// TestDataCentreLossWithStaleView makes the near data centre leave or fail while
// the sender's view still lists it. Every request is answered, none after more
// than two reroutes, and nearly all without any.
func TestDataCentreLossWithStaleView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near := rapid.IntRange(1, 10).Draw(t, "near")
		p := NewPool(localPlace, "me", append(warmServers(near, 0), warmServers(3, 1, 2)...), PoolConfig{})
		reason := rapid.SampledFrom([]verdict.Reason{verdict.ReasonLeaving, verdict.ReasonUnreachable}).Draw(t, "gone")
		policy := retry.NewPolicy(retry.Config{})
		source := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)
		for i := range 100 { // all servers answer until just before the loss
			if s, ok := p.Choose(source, nil, start); ok {
				s.Stats.Finish(Outcome{At: start.Add(time.Duration(i-100) * time.Millisecond)})
			}
		}
		totalReroutes := 0
		const requests = 300 // over 3 s
		for i := range requests {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			plan := policy.Start(retry.Request{Service: "s", Deadline: now.Add(time.Second)})
			var tried []host.ID
			for reroutes := 0; ; reroutes++ {
				s, ok := p.Choose(source, tried, now)
				if !ok {
					t.Fatalf("request %d found no server", i)
				}
				if s.Place != localPlace {
					s.Stats.Finish(Outcome{At: now})
					totalReroutes += reroutes
					break
				}
				refused := verdict.Refuse(reason, 0)
				s.Stats.Finish(Outcome{At: now, Err: refused})
				tried = append(tried, s.Host)
				if d := plan.Next(retry.Attempt{Err: refused, Now: now}); d.Kind != retry.Reroute || reroutes >= 2 {
					t.Fatalf("request %d ended after %d reroutes: %s", i, reroutes, d.StopReason)
				}
			}
		}
		if totalReroutes > requests/20 {
			t.Fatalf("%d reroutes in total, want at most one per 20 requests", totalReroutes)
		}
	})
}

// TestTwoFailingHostsKeepDataCentreInUse makes two of five near hosts fail
// permanently; the near requests must still go to the other three.
func TestTwoFailingHostsKeepDataCentreInUse(t *testing.T) {
	p := NewPool(localPlace, "me", warmServers(5, 0, 1), PoolConfig{})
	source, near := rand.NewPCG(1, 2), 0
	for i := range 1000 { // over 10 s
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		s, _ := p.Choose(source, nil, now)
		outcome := Outcome{At: now}
		if s.Host == "dc0-0" || s.Host == "dc0-1" {
			outcome.Err = verdict.Refuse(verdict.ReasonUnreachable, 0)
		}
		s.Stats.Finish(outcome)
		if s.Place == localPlace {
			near++
		}
	}
	NewWithT(t).Expect(near).To(BeNumerically(">", 950))
}
