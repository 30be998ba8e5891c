package gate

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// TestMain fixes the seed and the number of steps of the property tests unless flags set
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

const (
	testSlots   = 10
	testLatency = 10 * time.Millisecond
	testBoot    = "boot-1"
)

func testConfig() Config {
	return Config{Service: config.Service{Slots: testSlots, Connections: 120, ColdLimit: 2}}
}

func success() Outcome {
	return Outcome{Kind: OutcomeSuccess, Latency: testLatency, BootID: testBoot}
}

// admitNow calls Admit and cancels it after 1 ns of waiting.
func admitNow(g *Gate, r Request) (*Permit, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.AfterFunc(time.Nanosecond, cancel)
	return g.Admit(ctx, r)
}

// fillSlots takes every slot that is free now.
func fillSlots(g *Gate) []*Permit {
	var permits []*Permit
	for load := g.Load(); load.Running < load.Limit; load = g.Load() {
		p, err := g.Admit(context.Background(), Request{Caller: "crew"})
		if err != nil {
			break
		}
		permits = append(permits, p)
	}
	return permits
}

// runBatch fills all free slots and ends every request with the same outcome.
func runBatch(g *Gate, o Outcome) int {
	permits := fillSlots(g)
	time.Sleep(o.Latency)
	for _, p := range permits {
		p.Done(o)
	}
	return len(permits)
}

// warmUp raises a gate to its full limit with successful answers.
func warmUp(g *Gate) {
	warmUpWith(g, success)
}

// warmUpWith is warmUp with the outcome of each batch taken from next.
func warmUpWith(g *Gate, next func() Outcome) {
	for g.Load().State != host.StateWarm || g.Load().Limit < testSlots {
		runBatch(g, next())
	}
}

func reasonOf(err error) verdict.Reason {
	Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	Expect(verdict.FromError(err).RetryAfter).To(BeNumerically(">", 0))
	return verdict.FromError(err).Reason
}

func TestGateStartsColdAndWarmsOnlyOnSuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		g := New(testConfig(), nil)
		Expect(g.Load()).To(Equal(Load{Limit: 2, State: host.StateCold}))
		time.Sleep(time.Hour)
		g.Hint(Hint{Healthy: true, BootID: testBoot})
		for range 50 {
			Expect(runBatch(g, Outcome{Kind: OutcomeError, Latency: testLatency})).To(Equal(2))
		}
		answers := 0
		for g.Load().State != host.StateWarm {
			Expect(g.Load().Limit).To(Equal(2), "a cold server stays at the cold limit")
			answers += runBatch(g, success())
		}
		Expect(answers).To(BeNumerically(">=", 20*testSlots))
		for limit := 2; limit < testSlots; limit = g.Load().Limit {
			runBatch(g, success())
			Expect(g.Load().Limit).To(BeNumerically("<=", limit+1), "the limit rises by at most one step a round")
		}
	})
}

func TestLowLoadDoesNotRaiseLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		g := New(testConfig(), nil)
		for range 1000 {
			p, err := admitNow(g, Request{Caller: "crew"})
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(testLatency)
			p.Done(success())
		}
		Expect(g.Load()).To(Equal(Load{Limit: 2, State: host.StateCold}))
	})
}

func TestLeavingGateRefusesWaitersAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		g := New(testConfig(), nil)
		running := fillSlots(g)
		refused := make(chan error)
		go func() {
			_, err := g.Admit(context.Background(), Request{Caller: "crew"})
			refused <- err
		}()
		synctest.Wait()
		Expect(g.Load().Queued).To(Equal(1))
		g.SetLeaving(true)
		Expect(reasonOf(<-refused)).To(Equal(verdict.ReasonLeaving))
		_, err := g.Admit(context.Background(), Request{Caller: "crew"})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonLeaving))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(g.Drain(ctx)).To(MatchError(ErrNotDrained))
		drained := make(chan error)
		go func() { drained <- g.Drain(context.Background()) }()
		for _, p := range running {
			p.Done(success())
		}
		Expect(<-drained).To(Succeed())
		g.SetLeaving(false)
		Expect(g.Load()).To(Equal(Load{Limit: 2, State: host.StateCold}))
	})
}
