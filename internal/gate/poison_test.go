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

	"boragefall/internal/verdict"
)

// fakeServer crashes, with every request on it, each time it runs crashingRequest.
type fakeServer struct {
	mu              sync.Mutex
	crashingRequest uint64
	crashed         chan struct{}
	crashes         int
	ran             int
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
	if fp != s.crashingRequest {
		return Outcome{Kind: OutcomeSuccess, Latency: testLatency, BootID: boot}
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
		server := &fakeServer{crashingRequest: 1, crashed: make(chan struct{})}
		end := time.Now().Add(5 * time.Second)
		var callers sync.WaitGroup
		// Each caller resends its one request at once, whatever the answer.
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
		Expect(server.crashes).To(Equal(quarantineThreshold))
		Expect(g.Quarantined()).To(ConsistOf(server.crashingRequest))
		Expect(g.Suspects()).To(BeEmpty(), "requests that only ran beside the crashing request are cleared")
		Expect(server.ran).To(BeNumerically(">", 3000))
		_, err := admitNow(g, Request{Fingerprint: server.crashingRequest})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
		time.Sleep(defaultQuarantineFor)
		Expect(g.Quarantined()).To(BeEmpty())
	})
}

func TestBystanderSurvivingCrashesIsNotQuarantined(t *testing.T) {
	warmGate(t, func(g *Gate) {
		bystander, err := admitNow(g, Request{Fingerprint: 1})
		Expect(err).NotTo(HaveOccurred())
		for fp := range uint64(3) {
			p, err := admitNow(g, Request{Fingerprint: 10 + fp})
			Expect(err).NotTo(HaveOccurred())
			p.Done(Outcome{Kind: OutcomeCrashed})
			time.Sleep(2 * crashWindow)
		}
		Expect(g.Quarantined()).To(BeEmpty())
		bystander.Done(success())
		Expect(g.Suspects()).To(ConsistOf(uint64(10), uint64(11), uint64(12)))
	})
}

func TestCanceledPoisonRequestBecomesSuspect(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const crashingRequest, bystander = 1, 2
		p, err := admitNow(g, Request{Fingerprint: crashingRequest})
		Expect(err).NotTo(HaveOccurred())
		p.Done(Outcome{Kind: OutcomeCanceled})
		beside, err := admitNow(g, Request{Fingerprint: bystander})
		Expect(err).NotTo(HaveOccurred())
		beside.Done(Outcome{Kind: OutcomeCrashed})
		Expect(g.Suspects()).To(ConsistOf(uint64(crashingRequest), uint64(bystander)))
	})
}

// When all servers of a service turn cold unnoticed, a popular request can be on two
// servers that crash without causing either crash. The request itself reports these
// crashes to a third gate, which must not refuse it from all callers for as long as a
// request that crashed its own server.
func TestReportedCrashesQuarantineOnlyBriefly(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const popular = 7
		_, err := admitNow(g, Request{Fingerprint: popular, Idempotent: true, ReportedCrashes: quarantineThreshold})
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonQuarantined))
		_, err = admitNow(g, Request{Fingerprint: popular, Idempotent: true})
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonQuarantined))
		// Far below QuarantineFor: callers would see a refusal that long as an outage.
		time.Sleep(10 * time.Second)
		p, err := admitNow(g, Request{Fingerprint: popular, Idempotent: true})
		Expect(err).NotTo(HaveOccurred())
		p.Done(success())
		Expect(g.Suspects()).To(BeEmpty())
	})
}

func TestReportedCrashesStopPoisonRequestAcrossServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		gates := []*Gate{New(testConfig(), nil), New(testConfig(), nil), New(testConfig(), nil), New(testConfig(), nil)}
		crashes := 0
		for _, g := range gates {
			p, err := admitNow(g, Request{Fingerprint: 7, Idempotent: true, ReportedCrashes: crashes})
			if err != nil {
				Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
				continue
			}
			p.Done(Outcome{Kind: OutcomeCrashed})
			crashes++
		}
		Expect(crashes).To(Equal(2))
		fresh := New(testConfig(), nil)
		for _, fp := range gates[1].Quarantined() {
			fresh.AddQuarantined(fp, time.Now())
		}
		_, err := admitNow(fresh, Request{Fingerprint: 7})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
		Expect(fresh.Quarantined()).To(BeEmpty(), "a quarantine reported by another gate is not passed on")
	})
}

func TestCrashIsSharedWithOtherGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		first, second := New(testConfig(), nil), New(testConfig(), nil)
		p, err := admitNow(first, Request{Fingerprint: 7, Idempotent: true})
		Expect(err).NotTo(HaveOccurred())
		p.Done(Outcome{Kind: OutcomeCrashed})
		Expect(first.Crashes()).To(Receive())
		for _, fp := range first.Suspects() {
			second.AddSuspect(fp, time.Now())
		}
		p, err = admitNow(second, Request{Fingerprint: 7, Idempotent: true})
		Expect(err).NotTo(HaveOccurred())
		p.Done(Outcome{Kind: OutcomeCrashed})
		Expect(second.Crashes()).To(Receive())
		Expect(second.Quarantined()).To(ConsistOf(uint64(7)), "one crash at each of the two gates quarantines the request")
		for _, fp := range second.Quarantined() {
			first.AddQuarantined(fp, time.Now())
		}
		_, err = admitNow(first, Request{Fingerprint: 7})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined))
	})
}

func TestSuspectDoesNotStarveOthers(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const suspectFP, busy, span = 5, 9, 20 * time.Second
		g.AddSuspect(suspectFP, time.Now())
		end := time.Now().Add(span)
		var ran atomic.Int64
		held := time.Duration(0)
		for range busy {
			go func() {
				for time.Now().Before(end) {
					if p, err := g.Admit(context.Background(), Request{Caller: "crew"}); err == nil {
						time.Sleep(testLatency)
						p.Done(success())
						ran.Add(1)
					}
				}
			}()
		}
		for time.Now().Before(end) {
			g.AddSuspect(suspectFP, time.Now())
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			p, err := g.Admit(ctx, Request{Caller: "bad", Fingerprint: suspectFP})
			cancel()
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			Expect(g.Load().Running).To(BeNumerically("<=", 2), "a suspect starts within the cold limit")
			time.Sleep(500 * time.Millisecond)
			p.Done(Outcome{Kind: OutcomeCanceled})
			held += 500 * time.Millisecond
		}
		time.Sleep(time.Second)
		Expect(held).To(BeNumerically(">", span/8), "the suspect runs for more than an eighth of the time")
		Expect(ran.Load()).To(BeNumerically(">", int(busy*span/testLatency)*7/10))
	})
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	warmGate(t, func(g *Gate) {
		g.AddSuspect(1, time.Now())
		g.AddSuspect(2, time.Now())
		first, err := admitNow(g, Request{Fingerprint: 1})
		Expect(err).NotTo(HaveOccurred())
		_, err = admitNow(g, Request{Fingerprint: 1})
		Expect(reasonOf(err)).To(Equal(verdict.ReasonQuarantined), "a copy of a running suspect is refused")
		for range 10 {
			time.Sleep(defaultSuspectExclusiveTime)
			_, err = admitNow(g, Request{Fingerprint: 2})
			Expect(err).To(HaveOccurred())
		}
		Expect(fillSlots(g)).To(HaveLen(testSlots-1), "other requests run beside it after the exclusive phase")
		first.Done(success())
		Expect(g.Suspects()).To(ConsistOf(uint64(2)))
	})
}

func TestWaitingCopiesOfAPoisonRequest(t *testing.T) {
	warmGate(t, func(g *Gate) {
		const crashingRequest, copies = 1, 6
		running := fillSlots(g)[1:]
		ended := make(chan error)
		for range copies {
			go func() {
				p, err := g.Admit(context.Background(), Request{Fingerprint: crashingRequest, Idempotent: true})
				if err == nil {
					p.Done(Outcome{Kind: OutcomeCrashed})
				}
				ended <- err
			}()
		}
		synctest.Wait()
		g.AddSuspect(crashingRequest, time.Now())
		for _, p := range running {
			p.Done(success())
		}
		ran := 0
		for range copies {
			if <-ended == nil {
				ran++
			}
		}
		Expect(ran).To(Equal(1), "one more crash quarantines the other copies")
	})
}
