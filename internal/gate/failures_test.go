package gate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// warmGate runs a test on a gate that is warm.
func warmGate(t *testing.T, test func(g *Gate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		g := New(testConfig(), nil)
		warmUp(g)
		test(g)
	})
}

func TestWarmServerTurnsColdWithoutWarning(t *testing.T) {
	signs := map[string]Outcome{
		"slow answers":       {Kind: OutcomeGood, Latency: 20 * testLatency, BootID: testBoot},
		"connection refused": {Kind: OutcomeRefused},
		"crash":              {Kind: OutcomeCrashed},
		"changed boot id":    {Kind: OutcomeGood, Latency: testLatency, BootID: "boot-2"},
		"changed, on error":  {Kind: OutcomeError, Latency: testLatency, BootID: "boot-2"},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			warmGate(t, func(g *Gate) {
				Expect(round(g, sign)).To(Equal(testSlots))
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

func TestWarmServerHangsAndGetsNoMore(t *testing.T) {
	warmGate(t, func(g *Gate) {
		for range minOverdue {
			_, err := admitNow(g, Request{})
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(20 * testLatency)
		_, err := admitNow(g, Request{})
		Expect(verdict.Of(err)).NotTo(BeNil())
		Expect(g.Load().Limit).To(Equal(2))
	})
}

func TestHealthEndpointLies(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.Hint(Hint{Healthy: false})
		Expect(g.Load().Limit).To(Equal(2))
		answers := 0
		for g.Load().Limit < testSlots && answers < 100 {
			g.Hint(Hint{Healthy: false})
			answers += round(g, good())
		}
		Expect(answers).To(BeNumerically("~", defaultHintDistrust, 2))
		round(g, Outcome{Kind: OutcomeRefused})
		for range 100 {
			g.Hint(Hint{Healthy: true, Load: 0})
			Expect(g.Load()).To(Equal(Load{Limit: 1, State: host.StateDown}))
			time.Sleep(defaultDownFor / 100)
		}
		Expect(g.Load()).To(Equal(Load{Limit: 1, State: host.StateCold}), "somebody has to try")
	})
}

func TestBootIDOfHintLies(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.Hint(Hint{Healthy: true, BootID: "stale"})
		Expect(g.Load().Limit).To(Equal(2))
		round(g, good())
		round(g, good())
		Expect(g.Load()).To(Equal(Load{Limit: testSlots, State: host.StateWarm}))
		g.Hint(Hint{Healthy: true, BootID: "stale"})
		Expect(g.Load().Limit).To(Equal(testSlots))
	})
}

func TestFaultOfARequestFromBeforeADoubt(t *testing.T) {
	for kind, want := range map[OutcomeKind]Load{
		OutcomeRefused: {Limit: 2, State: host.StateCold},
		OutcomeShed:    {Limit: 7, State: host.StateWarm},
	} {
		warmGate(t, func(g *Gate) {
			p, err := admitNow(g, Request{})
			Expect(err).NotTo(HaveOccurred())
			g.Hint(Hint{Healthy: true, BootID: "new"})
			p.Done(Outcome{Kind: kind})
			for range 2 {
				round(g, good())
			}
			Expect(g.Load()).To(Equal(want))
		})
	}
}

func TestProcessPaused(t *testing.T) {
	for boot, wantWarm := range map[string]bool{testBoot: true, "boot-2": false, "": false} {
		t.Run("answer from "+boot, func(t *testing.T) {
			warmGate(t, func(g *Gate) {
				g.Paused(time.Millisecond)
				Expect(g.Load().Limit).To(Equal(testSlots))
				late := fillSlots(g)
				g.Paused(time.Minute)
				for _, p := range late {
					p.Done(good())
				}
				Expect(g.Load().Limit).To(Equal(2), "answers from before the pause prove nothing")
				for range defaultProbationAnswers {
					p, err := admitNow(g, Request{})
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(testLatency)
					p.Done(Outcome{Kind: OutcomeGood, Latency: testLatency, BootID: boot})
				}
				Expect(g.Load().State == host.StateWarm).To(Equal(wantWarm))
			})
		})
	}
}

func TestServerRestartedWhileNothingRan(t *testing.T) {
	warmGate(t, func(g *Gate) {
		time.Sleep(defaultIdleAfter)
		Expect(fillSlots(g)).To(HaveLen(2))
	})
}

// fakeServer crashes with all that it runs while it runs the poison.
type fakeServer struct {
	mu      sync.Mutex
	poison  uint64
	crashed chan struct{}
	crashes int
	ran     int
}

func (s *fakeServer) run(fp uint64) Outcome {
	s.mu.Lock()
	s.ran++
	crashed, boot := s.crashed, fmt.Sprint("boot-", s.crashes+1)
	s.mu.Unlock()
	select {
	case <-crashed:
		return Outcome{Kind: OutcomeCrashed}
	case <-time.After(testLatency):
	}
	if fp != s.poison {
		return Outcome{Kind: OutcomeGood, Latency: testLatency, BootID: boot}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.crashes++
	return Outcome{Kind: OutcomeCrashed}
}

func TestPoisonRequestWithBystanders(t *testing.T) {
	warmGate(t, func(g *Gate) {
		server := &fakeServer{poison: 1, crashed: make(chan struct{})}
		end := time.Now().Add(5 * time.Second)
		var callers sync.WaitGroup
		// Each caller re-sends its one request at once, whatever the answer.
		for fp := range uint64(2 * testSlots) {
			callers.Go(func() {
				for time.Now().Before(end) {
					p, err := g.Admit(context.Background(), Request{Caller: fmt.Sprint(fp), Fingerprint: fp, Idempotent: fp%2 == 0})
					if err != nil {
						time.Sleep(time.Millisecond)
						continue
					}
					p.Done(server.run(fp))
				}
			})
		}
		callers.Wait()
		Expect(server.crashes).To(Equal(crashesToConvict))
		Expect(g.Quarantine()).To(ConsistOf(server.poison))
		Expect(g.Suspects()).To(BeEmpty(), "bystanders are cleared")
		Expect(server.ran).To(BeNumerically(">", 3000))
		_, err := admitNow(g, Request{Fingerprint: server.poison})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
		time.Sleep(defaultQuarantineFor)
		Expect(g.Quarantine()).To(BeEmpty())
	})
}

func TestBystanderOutlivesOneCrashAndMeetsAnother(t *testing.T) {
	warmGate(t, func(g *Gate) {
		bystander, err := admitNow(g, Request{Fingerprint: 1})
		Expect(err).NotTo(HaveOccurred())
		for fp := range uint64(3) {
			p, err := admitNow(g, Request{Fingerprint: 10 + fp})
			Expect(err).NotTo(HaveOccurred())
			p.Done(Outcome{Kind: OutcomeCrashed})
			time.Sleep(2 * crashWindow)
		}
		Expect(g.Quarantine()).To(BeEmpty())
		bystander.Done(good())
		Expect(g.Suspects()).To(ConsistOf(uint64(10), uint64(11), uint64(12)))
	})
}

func TestPoisonRequestWhoseCallerGaveUp(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const poison, bystander = 1, 2
		p, err := admitNow(g, Request{Fingerprint: poison})
		Expect(err).NotTo(HaveOccurred())
		p.Done(Outcome{Kind: OutcomeCanceled})
		beside, err := admitNow(g, Request{Fingerprint: bystander})
		Expect(err).NotTo(HaveOccurred())
		beside.Done(Outcome{Kind: OutcomeCrashed})
		Expect(g.Suspects()).To(ConsistOf(uint64(poison), uint64(bystander)))
	})
}

// When all servers of a service turn cold without a word, a request that many
// callers send passes through two crashes of which it is not the cause, and a
// third gate hears of it by the request itself. That gate must not refuse the
// same request of all callers for as long as one that it saw crash its server.
func TestPopularRequestThatMetTwoCrashesElsewhere(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const popular = 7
		_, err := admitNow(g, Request{Fingerprint: popular, Idempotent: true, Crashes: crashesToConvict})
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonQuarantined))
		_, err = admitNow(g, Request{Fingerprint: popular, Idempotent: true})
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonQuarantined))
		time.Sleep(10 * time.Second) // a caller's outage, far below QuarantineFor
		p, err := admitNow(g, Request{Fingerprint: popular, Idempotent: true})
		Expect(err).NotTo(HaveOccurred())
		p.Done(good())
		Expect(g.Suspects()).To(BeEmpty())
	})
}

func TestPoisonRequestAcrossServersOfOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		gates := []*Gate{New(testConfig(), nil), New(testConfig(), nil), New(testConfig(), nil), New(testConfig(), nil)}
		crashes := 0
		for _, g := range gates {
			p, err := admitNow(g, Request{Fingerprint: 7, Idempotent: true, Crashes: crashes})
			if err != nil {
				Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
				continue
			}
			p.Done(Outcome{Kind: OutcomeCrashed})
			crashes++
		}
		Expect(crashes).To(Equal(2))
		fresh := New(testConfig(), nil)
		for _, fp := range gates[1].Quarantine() {
			fresh.Convict(fp, time.Now())
		}
		_, err := admitNow(fresh, Request{Fingerprint: 7})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
		Expect(fresh.Quarantine()).To(BeEmpty(), "what was heard is not told on")
	})
}

func TestCrashIsToldToTheOtherGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		first, second := New(testConfig(), nil), New(testConfig(), nil)
		p, err := admitNow(first, Request{Fingerprint: 7, Idempotent: true})
		Expect(err).NotTo(HaveOccurred())
		p.Done(Outcome{Kind: OutcomeCrashed})
		Expect(first.Crashes()).To(Receive())
		for _, fp := range first.Suspects() {
			second.Suspect(fp, time.Now())
		}
		p, err = admitNow(second, Request{Fingerprint: 7, Idempotent: true})
		Expect(err).NotTo(HaveOccurred())
		p.Done(Outcome{Kind: OutcomeCrashed})
		Expect(second.Crashes()).To(Receive())
		Expect(second.Quarantine()).To(ConsistOf(uint64(7)), "two crashes in the service, one at each gate")
		for _, fp := range second.Quarantine() {
			first.Convict(fp, time.Now())
		}
		_, err = admitNow(first, Request{Fingerprint: 7})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
	})
}

func TestSuspectDoesNotStarveOthers(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const suspectFP, busy, span = 5, 9, 20 * time.Second
		g.Suspect(suspectFP, time.Now())
		end := time.Now().Add(span)
		var ran atomic.Int64
		held := time.Duration(0)
		for range busy {
			go func() {
				for time.Now().Before(end) {
					if p, err := g.Admit(context.Background(), Request{Caller: "crew"}); err == nil {
						time.Sleep(testLatency)
						p.Done(good())
						ran.Add(1)
					}
				}
			}()
		}
		for time.Now().Before(end) {
			g.Suspect(suspectFP, time.Now())
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			p, err := g.Admit(ctx, Request{Caller: "bad", Fingerprint: suspectFP})
			cancel()
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			Expect(g.Load().Running).To(BeNumerically("<=", 2), "a suspect starts as if cold")
			time.Sleep(500 * time.Millisecond)
			p.Done(Outcome{Kind: OutcomeCanceled})
			held += 500 * time.Millisecond
		}
		time.Sleep(time.Second)
		Expect(held).To(BeNumerically(">", span/8), "the suspect gets its turns")
		Expect(ran.Load()).To(BeNumerically(">", int(busy*span/testLatency)*7/10))
	})
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.Suspect(1, time.Now())
		g.Suspect(2, time.Now())
		first, err := admitNow(g, Request{Fingerprint: 1})
		Expect(err).NotTo(HaveOccurred())
		_, err = admitNow(g, Request{Fingerprint: 1})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined), "a copy of a running suspect")
		for range 10 {
			time.Sleep(defaultSuspectAlone)
			_, err = admitNow(g, Request{Fingerprint: 2})
			Expect(err).To(HaveOccurred())
		}
		Expect(fillSlots(g)).To(HaveLen(testSlots-1), "others run beside it after its time alone")
		first.Done(good())
		Expect(g.Suspects()).To(ConsistOf(uint64(2)))
	})
}

func TestWaitingCopiesOfAPoisonRequest(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const poison, copies = 1, 6
		running := fillSlots(g)[1:]
		ended := make(chan error)
		for range copies {
			go func() {
				p, err := g.Admit(context.Background(), Request{Fingerprint: poison, Idempotent: true})
				if err == nil {
					p.Done(Outcome{Kind: OutcomeCrashed})
				}
				ended <- err
			}()
		}
		synctest.Wait()
		g.Suspect(poison, time.Now())
		for _, p := range running {
			p.Done(good())
		}
		ran := 0
		for range copies {
			if <-ended == nil {
				ran++
			}
		}
		Expect(ran).To(Equal(1), "the second crash is its last")
	})
}

func TestSlowStartAfterCrash(t *testing.T) {
	warmGate(t, func(g *Gate) {
		round(g, Outcome{Kind: OutcomeCrashed})
		answers, limit := 0, g.Load().Limit
		for g.Load().State != host.StateWarm {
			answers += round(g, good())
			Expect(g.Load().Limit).To(BeNumerically("<=", limit+1), "no jumps")
			limit = g.Load().Limit
			Expect(limit).To(BeNumerically("<=", 2+answers/25), "a step costs 200 answers / 8 steps")
		}
		Expect(answers).To(BeNumerically(">=", 20*testSlots))
	})
}

func TestServerShedsLoad(t *testing.T) {
	warmGate(t, func(g *Gate) {
		round(g, Outcome{Kind: OutcomeShed, Latency: time.Millisecond})
		Expect(g.Load().Limit).To(Equal(7), "ten sheds of one overload lower the limit once")
		round(g, Outcome{Kind: OutcomeShed, Latency: time.Millisecond})
		Expect(g.Load().Limit).To(Equal(5))
		round(g, Outcome{Kind: OutcomeTimeout, Latency: testLatency / 2})
		Expect(g.Load().Limit).To(Equal(5), "a short deadline says nothing about the server")
		rounds := 0
		for ; g.Load().Limit < testSlots; rounds++ {
			round(g, good())
		}
		Expect(rounds).To(BeNumerically("<=", testSlots))
	})
}

func TestDeadlineIsNoConcernWithAFreeSlot(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.occupancy.add(time.Hour)
		for range testSlots - 1 {
			_, err := admitNow(g, Request{Caller: "boat"})
			Expect(err).NotTo(HaveOccurred())
		}
		go func() { _, _ = admitNow(g, Request{Caller: "boat"}) }()
		synctest.Wait()
		Expect(g.Load().Queued).To(Equal(1), "the last slot is kept for others")
		_, err := admitNow(g, Request{Caller: "crew", Deadline: time.Now().Add(testLatency)})
		time.Sleep(time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})
}

func TestDeadlineThatCannotBeMet(t *testing.T) {
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
			p.Done(good())
			p.Done(good())
		}
		Expect(g.Load().Running).To(BeZero())
	})
}
