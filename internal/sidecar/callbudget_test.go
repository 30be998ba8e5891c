package sidecar

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/callbudget"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/verdict"
)

// burstAtCalledService is a service whose runs call a second one, and a burst of less
// urgent requests of callers at the second one. The calls' own route is as urgent as the
// burst; the visits that make them are more urgent.
func burstAtCalledService(burstPerSecond float64) ([]loadService, map[string]loadRoute) {
	speeds := []float64{0.5, 0.8, 1, 1.3, 1.7, 0.7}
	return []loadService{
			{name: "crew", slots: 14, speeds: speeds},
			{name: "archive", slots: 14, speeds: speeds},
		}, map[string]loadRoute{
			"visit": {
				service: "crew", perSecond: 260, work: 160 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 2 * time.Second,
				priority: 1, idempotent: true, calls: 2, callShare: 0.7, callRoute: "status",
			},
			"bulk": {
				service: "archive", perSecond: burstPerSecond, work: 210 * time.Millisecond, objective: 1200 * time.Millisecond, deadline: 4 * time.Second,
				priority: 3,
			},
			"status": {
				service: "archive", work: 40 * time.Millisecond, objective: 150 * time.Millisecond, deadline: 500 * time.Millisecond,
				priority: 3, idempotent: true,
			},
		}
}

// Guards against runs that are wasted because their calls are refused: a burst of less
// urgent requests filled the queues of the called service, 11,429 of 42,908 runs failed
// after their work, and the more urgent visits were served worse than the burst. Fewer than
// a tenth of the runs may be wasted, and visits are served on time whatever the burst is.
func TestBurstAtTheCalledServiceWastesFewRuns(t *testing.T) {
	for _, burst := range []float64{0.1, 350, 700, 1400} {
		g := NewWithT(t)
		services, routes := burstAtCalledService(burst)
		w := simulateLoad(t, loadScenario{services: services, routes: routes, phases: []loadPhase{{6 * time.Second, 1}}})
		visits, bulk := w.tallies["visit"], w.tallies["bulk"]
		runs, wasted := w.runs("crew")
		t.Logf("burst %.0f/s: visits %v; bulk %v; %d of %d runs wasted", burst, visits, bulk, wasted, runs)
		g.Expect(wasted).To(BeNumerically("<", runs/10))
		g.Expect(visits.onTime).To(BeNumerically(">=", visits.sent*9/10))
	}
}

// Calls of two kinds of runs need twice what the called service has, and every run
// makes them. Runs in progress when that begins can't be saved. Guards against runs that are started although their calls are going
// to be refused, and against less urgent runs whose calls take the capacity from more urgent
// ones: a tenth of the runs may have a call refused, seven tenths of what the called service bears
// must be served, and the more urgent kind is served on time.
func TestRunsAreNotStartedBeyondWhatTheCalledServiceBears(t *testing.T) {
	g := NewWithT(t)
	const length = 20 * time.Second
	services, routes := burstAtCalledService(0)
	services[1].speeds = []float64{0.7}
	urgent, visit := routes["visit"], routes["visit"]
	urgent.perSecond, urgent.callShare = 40, 1
	visit.perSecond, visit.callShare, visit.priority = 200, 1, 2
	routes["urgent"], routes["visit"] = urgent, visit
	w := simulateLoad(t, loadScenario{services: services, routes: routes, phases: []loadPhase{{length, 1}}})
	urgents, visits := w.tallies["urgent"], w.tallies["visit"]
	runs, wasted := w.runs("crew")
	refused := 0
	for _, n := range w.nodes {
		refused += int(n.hop.callBudget.Totals(time.Now()).CallRefused)
	}
	borne := length.Seconds() * serviceCapacity(services, routes["status"]) / float64(visit.calls)
	t.Logf("urgent %v; visits %v; %d of %d runs wasted, %d for refused calls; the called service bears %.0f", urgents, visits, wasted, runs, refused, borne)
	g.Expect(refused).To(BeNumerically("<", runs/10))
	g.Expect(float64(urgents.onTime + urgents.late + visits.onTime + visits.late)).To(BeNumerically(">=", 0.7*borne))
	g.Expect(urgents.onTime).To(BeNumerically(">=", urgents.sent*9/10))
}

// doCall sends a nested call of a run of rank 7 and returns the run.
func (w *dispatcherFixture) doCall(ctx context.Context) (*run, *contract.Answer, *verdict.Error) {
	now := time.Now()
	budgeted, _ := w.dispatcher.hop.callBudget.Start(callbudget.Request{Class: callbudget.Class{Route: "visit"}}, now)
	parent := &run{rank: 7, budget: budgeted}
	w.dispatcher.hop.runs.begin("9c41", parent)
	answer, refusal := w.dispatcher.Do(ctx, &contract.Request{
		ID: "9c41.1", Service: "orders", Route: "status", Idempotent: true, Rank: 2,
		Objective: now.Add(150 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond),
	}, &mesh.Route{Name: "status", MaxAttempts: 2}, emptyBody{})
	return parent, answer, refusal
}

// Guards against runs that are wasted because a few gates are cold, full or unreachable: the
// call reaches the one of nine gates that serves it, with the rank of its run, and no refusal
// takes from the retry budget.
func TestNestedCallReachesTheGateThatServesIt(t *testing.T) {
	w := newDispatcherFixture(t, 9)
	reasons := []verdict.Reason{verdict.ReasonCold, verdict.ReasonOverloaded, verdict.ReasonUnreachable, verdict.ReasonLeaving}
	w.peers.answer = func(_ context.Context, n int, r *contract.Request) (*contract.Answer, error) {
		w.Expect(r.Nested).To(BeTrue())
		w.Expect(r.Rank).To(Equal(7))
		if n < 8 {
			return &contract.Answer{}, verdict.Refuse(reasons[n%len(reasons)], 100*time.Millisecond)
		}
		return answerWithStatus(http.StatusOK), nil
	}
	_, answer, refusal := w.doCall(t.Context())
	w.Expect(refusal).To(BeNil())
	w.Expect(answer.Body.Close()).To(Succeed())
	w.Expect(w.dispatcher.retryBudgetFor("orders").TryWithdraw()).To(BeTrue())
	w.Expect(w.dispatcher.hop.callBudget.Totals(time.Now()).CallRefused).To(BeZero())
}

// The called service is gone: the call fails at once and is recorded for its run.
func TestRefusedCallIsRecordedForItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDispatcherFixture(t, 2)
		w.peers.answer = func(context.Context, int, *contract.Request) (*contract.Answer, error) {
			return &contract.Answer{}, verdict.Refuse(verdict.ReasonUnreachable, 100*time.Millisecond)
		}
		started := time.Now()
		_, _, refusal := w.doCall(t.Context())
		w.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
		w.Expect(time.Since(started)).To(BeZero())
		w.Expect(w.peers.sendCount()).To(BeNumerically("<=", 4), "no gate is asked more than twice")
		w.Expect(w.dispatcher.hop.callBudget.Totals(time.Now()).CallRefused).To(Equal(uint64(1)))
	})
}

// Guards against limits that permit runs beyond them because the server refused requests
// itself: those count as no runs.
func TestRequestThatTheServerRefusedIsNoRunOfTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hop := newTestHop(t, newTestView(1))
		server := &statingServer{reply: protocol.ServerResponse{Server: "10.0.0.2", NotExecuted: true}}
		hop.client = server
		_, err := hop.Run(context.Background(), requestTo("10.0.0.2", nil, 0))
		g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonServerRefused))
		g.Expect(hop.callBudget.Totals(time.Now()).Runs).To(BeZero())
		server.reply.NotExecuted = false
		answer, err := hop.Run(context.Background(), requestTo("10.0.0.2", nil, 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Body.Close()).To(Succeed())
		g.Expect(hop.callBudget.Totals(time.Now()).Runs).To(Equal(uint64(1)))
	})
}

// Guards against a call that is not sent to a gate with room because that gate refused a less
// urgent one of the same route.
func TestRefusalOfALessUrgentCallDoesNotHoldForAnUrgentOne(t *testing.T) {
	g := NewWithT(t)
	urgent, other := &contract.Request{Route: "status", Nested: true, Rank: 1}, &contract.Request{Route: "status", Nested: true, Rank: 2}
	g.Expect(admissionClass(urgent)).NotTo(Equal(admissionClass(other)))
	urgent.Nested, other.Nested = false, false
	g.Expect(admissionClass(urgent)).To(Equal(admissionClass(other)))
}
