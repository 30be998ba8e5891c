package sidecar

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
)

// simulateUneven runs a service of 32 servers of three speeds under a share of its
// capacity. Idle servers of a second service make 60 entries, each of which sees a server
// only about once a second. pace may be nil.
func simulateUneven(t *testing.T, utilization float64, pace func(w *loadSimulation) *loadPace) *loadTally {
	services := []loadService{{name: "crew", slots: 14}, {name: "idle", slots: 14}}
	for i := range 32 {
		services[0].speeds = append(services[0].speeds, []float64{0.7, 0.7, 1.7}[i%3])
	}
	for range 28 {
		services[1].speeds = append(services[1].speeds, 1)
	}
	visit := loadRoute{
		service: "crew", work: 160 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 2 * time.Second, idempotent: true,
	}
	visit.perSecond = utilization * serviceCapacity(services, visit)
	w := simulateLoad(t, loadScenario{
		services: services, routes: map[string]loadRoute{"visit": visit}, phases: []loadPhase{{5 * time.Second, 1}},
		setUp: func(w *loadSimulation) {
			for _, n := range w.nodes {
				if pace == nil {
					continue
				}
				changes := pace(w)
				n.mu.Lock() // its first health check is in progress
				n.pace = changes
				n.mu.Unlock()
			}
		},
	})
	return w.tallies["visit"]
}

// Servers of speeds 0.7, 0.7 and 1.7 at 0.85 and 0.95 of their capacity. With a plain mean
// of service times and no load expected at servers without a recent report, 0.974 and
// 0.959 were on time, since gates that had no free slot were chosen too often.
func TestServersOfUnevenSpeedServeOnTime(t *testing.T) {
	for _, utilization := range []float64{0.85, 0.95} {
		visits := simulateUneven(t, utilization, nil)
		t.Logf("%.2f of the capacity: %v", utilization, visits)
		NewWithT(t).Expect(float64(visits.onTime)).To(BeNumerically(">=", 0.98*float64(visits.sent)))
	}
}

// At each moment 15% of the servers are 2.5 times slower, for 0.6 s at a time, at 0.85 of
// the capacity at usual speed. With the plain mean 0.91 were on time. Servers that state their
// slowdown and those that don't are followed.
func TestSlowPeriodsAreFollowed(t *testing.T) {
	for states, least := range map[bool]float64{true: 0.94, false: 0.93} {
		visits := simulateUneven(t, 0.85, func(w *loadSimulation) *loadPace {
			return &loadPace{slowed: w.slowPeriods(0.15, 600*time.Millisecond, 12*time.Second), factor: 2.5, states: states}
		})
		t.Logf("stated %v: %v", states, visits)
		NewWithT(t).Expect(float64(visits.onTime)).To(BeNumerically(">=", least*float64(visits.sent)))
	}
}

// statingServer answers at once and states a load.
type statingServer struct {
	instantServer
	reply protocol.ServerResponse
}

func (s *statingServer) Do(context.Context, serverconn.Request) (*serverconn.Answer, error) {
	time.Sleep(10 * time.Millisecond)
	return &serverconn.Answer{Answer: *answerWithStatus(http.StatusOK), ServerResponse: s.reply, Buffered: true}, nil
}

// Failures: the load of another server at the address is not that of the expected one, and
// once a server is replaced nothing is left of the old one's.
func TestLoadOfAnotherServerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hop := newTestHop(t, newTestView(1))
		server := &statingServer{reply: protocol.ServerResponse{Server: "10.0.0.2", Load: protocol.ServerLoad{Stated: true, Slowdown: 250}}}
		hop.client = server
		send := func() {
			answer, err := hop.Run(context.Background(), requestTo("10.0.0.2", nil, 0))
			if err == nil {
				_ = answer.Body.Close() // empty
			}
		}
		send()
		g.Expect(hop.Load().Slowdown).To(Equal(250))
		g.Expect(hop.Load().ServiceTime).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
		hop.recordResponder("10.0.0.2")
		hop.recordResponder("i-other")
		g.Expect(hop.Load().Slowdown).To(Equal(100))
		g.Expect(hop.Load().ServiceTime).To(BeZero())
		server.reply.NotExecuted, server.reply.WrongServer = true, true
		send()
		hop.observeHealthNotice(protocol.ServerResponse{Server: "i-other", Load: server.reply.Load})
		g.Expect(hop.Load().Slowdown).To(Equal(100))
		hop.observeHealthNotice(protocol.ServerResponse{Server: "10.0.0.2", Load: server.reply.Load})
		g.Expect(hop.Load().Slowdown).To(Equal(250))
	})
}

// The calls of a run may overlap; the time in which any is in progress counts once.
func TestOverlappingCallsCountOnce(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) time.Time { return time.Unix(1, 0).Add(time.Duration(ms) * time.Millisecond) }
	c := &callWait{}
	c.begin(at(0))
	c.begin(at(10))
	c.end(at(20))
	g.Expect(c.until(at(25))).To(Equal(25 * time.Millisecond))
	c.end(at(30))
	c.begin(at(50))
	c.end(at(60))
	g.Expect(c.until(at(100))).To(Equal(40 * time.Millisecond))
}
