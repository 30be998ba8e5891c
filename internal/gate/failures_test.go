package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// warmGate runs a test on a warm gate.
func warmGate(t *testing.T, test func(g *Gate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		g := New(testConfig(), nil)
		warmUp(g)
		test(g)
	})
}

func TestWarmServerTurnsColdOnFailureSignal(t *testing.T) {
	signals := map[string]Outcome{
		"slow answers":                {Kind: OutcomeSuccess, Latency: 20 * testLatency, BootID: testBoot},
		"connection refused":          {Kind: OutcomeConnectionRefused},
		"crash":                       {Kind: OutcomeCrashed},
		"changed boot id":             {Kind: OutcomeSuccess, Latency: testLatency, BootID: "boot-2"},
		"changed boot id on an error": {Kind: OutcomeError, Latency: testLatency, BootID: "boot-2"},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			warmGate(t, func(g *Gate) {
				Expect(runBatch(g, signal)).To(Equal(testSlots))
				Expect(g.Load().Limit).To(BeNumerically("<=", 2))
				Expect(g.Load().State).NotTo(Equal(host.StateWarm))
				before := g.Load().Limit
				time.Sleep(time.Hour)
				Expect(g.Load().Limit).To(Equal(before))
				warmUp(g)
			})
		})
	}
}

func TestHungServerGetsNoMoreRequests(t *testing.T) {
	warmGate(t, func(g *Gate) {
		for range minOverdue {
			_, err := admitNow(g, Request{})
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(20 * testLatency)
		_, err := admitNow(g, Request{})
		Expect(verdict.FromError(err)).NotTo(BeNil())
		Expect(g.Load().Limit).To(Equal(2))
	})
}

func TestFalseHealthHints(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.Hint(Hint{Healthy: false})
		Expect(g.Load().Limit).To(Equal(2))
		answers := 0
		for g.Load().Limit < testSlots && answers < 100 {
			g.Hint(Hint{Healthy: false})
			answers += runBatch(g, success())
		}
		Expect(answers).To(BeNumerically("~", defaultHintOverrideSuccesses, 2))
		runBatch(g, Outcome{Kind: OutcomeConnectionRefused})
		for range 100 {
			g.Hint(Hint{Healthy: true, Load: 0})
			Expect(g.Load()).To(Equal(Load{Limit: 1, State: host.StateDown}))
			time.Sleep(defaultDownFor / 100)
		}
		Expect(g.Load()).To(Equal(Load{Limit: 1, State: host.StateCold}), "the state is cold after DownFor, so that a request is sent")
	})
}

func TestFalseBootIDInHint(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.Hint(Hint{Healthy: true, BootID: "stale"})
		Expect(g.Load().Limit).To(Equal(2))
		runBatch(g, success())
		runBatch(g, success())
		Expect(g.Load()).To(Equal(Load{Limit: testSlots, State: host.StateWarm}))
		g.Hint(Hint{Healthy: true, BootID: "stale"})
		Expect(g.Load().Limit).To(Equal(testSlots))
	})
}

func TestFaultOfRequestAdmittedBeforeProbation(t *testing.T) {
	for kind, want := range map[OutcomeKind]Load{
		OutcomeConnectionRefused: {Limit: 2, State: host.StateCold},
		OutcomeShed:              {Limit: 7, State: host.StateWarm},
	} {
		warmGate(t, func(g *Gate) {
			p, err := admitNow(g, Request{})
			Expect(err).NotTo(HaveOccurred())
			g.Hint(Hint{Healthy: true, BootID: "new"})
			p.Done(Outcome{Kind: kind})
			for range 2 {
				runBatch(g, success())
			}
			Expect(g.Load()).To(Equal(want))
		})
	}
}

func TestProcessPaused(t *testing.T) {
	for boot, wantWarm := range map[string]bool{testBoot: true, "boot-2": false, "": false} {
		t.Run("answer from "+boot, func(t *testing.T) {
			warmGate(t, func(g *Gate) {
				g.ProcessPaused(time.Millisecond)
				Expect(g.Load().Limit).To(Equal(testSlots))
				late := fillSlots(g)
				g.ProcessPaused(time.Minute)
				for _, p := range late {
					p.Done(success())
				}
				Expect(g.Load().Limit).To(Equal(2), "answers to requests admitted before the pause do not count")
				for range defaultProbationSuccesses {
					p, err := admitNow(g, Request{})
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(testLatency)
					p.Done(Outcome{Kind: OutcomeSuccess, Latency: testLatency, BootID: boot})
				}
				Expect(g.Load().State == host.StateWarm).To(Equal(wantWarm))
			})
		})
	}
}

func TestIdleServerReturnsToColdLimit(t *testing.T) {
	warmGate(t, func(g *Gate) {
		time.Sleep(defaultIdleAfter)
		Expect(fillSlots(g)).To(HaveLen(2))
	})
}

func TestSlowStartAfterCrash(t *testing.T) {
	warmGate(t, func(g *Gate) {
		runBatch(g, Outcome{Kind: OutcomeCrashed})
		answers, limit := 0, g.Load().Limit
		for g.Load().State != host.StateWarm {
			answers += runBatch(g, success())
			Expect(g.Load().Limit).To(BeNumerically("<=", limit+1), "the limit rises by at most one step a round")
			limit = g.Load().Limit
			Expect(limit).To(BeNumerically("<=", 2+answers/25), "a step costs 200 answers / 8 steps")
		}
		Expect(answers).To(BeNumerically(">=", 20*testSlots))
	})
}

func TestServerShedsLoad(t *testing.T) {
	warmGate(t, func(g *Gate) {
		runBatch(g, Outcome{Kind: OutcomeShed, Latency: time.Millisecond})
		Expect(g.Load().Limit).To(Equal(7), "ten shed requests of one overload lower the limit once")
		runBatch(g, Outcome{Kind: OutcomeShed, Latency: time.Millisecond})
		Expect(g.Load().Limit).To(Equal(5))
		runBatch(g, Outcome{Kind: OutcomeTimeout, Latency: testLatency / 2})
		Expect(g.Load().Limit).To(Equal(5), "a timeout within the normal latency does not lower the limit")
		rounds := 0
		for ; g.Load().Limit < testSlots; rounds++ {
			runBatch(g, success())
		}
		Expect(rounds).To(BeNumerically("<=", testSlots))
	})
}

func TestDeadlineIsIgnoredWithAFreeSlot(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.occupancy.add(time.Hour)
		for range testSlots - 1 {
			_, err := admitNow(g, Request{Caller: "boat"})
			Expect(err).NotTo(HaveOccurred())
		}
		go func() { _, _ = admitNow(g, Request{Caller: "boat"}) }()
		synctest.Wait()
		Expect(g.Load().Queued).To(Equal(1), "the last slot is reserved for other callers")
		_, err := admitNow(g, Request{Caller: "crew", Deadline: time.Now().Add(testLatency)})
		time.Sleep(time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})
}

func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	warmGate(t, func(g *Gate) {
		running := fillSlots(g)
		start := time.Now()
		_, err := g.Admit(context.Background(), Request{Deadline: start.Add(testLatency / 2)})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonDeadline))
		Expect(time.Since(start)).To(BeZero(), "refused at once")
		ctx, cancel := context.WithCancel(context.Background())
		go func() { time.Sleep(time.Millisecond); cancel() }()
		_, err = g.Admit(ctx, Request{Deadline: start.Add(time.Second)})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonCanceled))
		Expect(time.Since(start)).To(Equal(time.Millisecond))
		Expect(g.Load().Queued).To(BeZero())
		_, err = g.Admit(context.Background(), Request{Deadline: start.Add(time.Hour)})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonOverloaded))
		Expect(time.Since(start)).To(Equal(time.Millisecond + defaultMaxQueueWait))
		for _, p := range running {
			p.Done(success())
			p.Done(success())
		}
		Expect(g.Load().Running).To(BeZero())
	})
}
