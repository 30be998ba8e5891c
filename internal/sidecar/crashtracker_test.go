package sidecar

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

const (
	crashingRequest = uint64(7)
	popularPage     = uint64(8)
	runTime         = 90 * time.Millisecond
)

// crashWorld is the crash trackers of the gates of one service; notices arrive at once.
type crashWorld struct {
	*WithT
	now     time.Time
	gates   []*crashTracker
	notices int
}

func newCrashWorld(t *testing.T, gates int) *crashWorld {
	w := &crashWorld{WithT: NewWithT(t), now: time.Unix(1000, 0)}
	for i := range gates {
		tracker, err := newCrashTracker(func(n crashNotice) {
			w.notices++
			for j, other := range w.gates {
				if j != i {
					other.applyNotice(decodeCrashNotice(encodeCrashNotice(n, w.now), w.now))
				}
			}
		}, telemetry.Silent())
		w.Expect(err).NotTo(HaveOccurred())
		w.gates = append(w.gates, tracker)
	}
	return w
}

// breakRuns breaks off runs that began runTime ago.
func (w *crashWorld) breakRuns(gate int, fingerprints ...uint64) {
	for _, fingerprint := range fingerprints {
		w.gates[gate].recordBroken(brokenRun{
			fingerprint: fingerprint, server: "a", startedAt: w.now.Add(-runTime), brokenAt: w.now,
		})
	}
}

// crash ends a gate's server while it runs requests.
func (w *crashWorld) crash(gate int, fingerprints ...uint64) {
	w.breakRuns(gate, fingerprints...)
	w.gates[gate].recordUnreachable()
}

func (w *crashWorld) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *crashWorld) quarantined(fingerprint uint64) []bool {
	var out []bool
	for _, gate := range w.gates {
		out = append(out, gate.quarantined(fingerprint, w.now))
	}
	return out
}

// Guards against a request that crashes every server that runs it.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	w := newCrashWorld(t, 2)
	for _, gate := range []int{0, 1, 0} {
		w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{false, false}))
		w.crash(gate, crashingRequest)
		w.pass(time.Second)
	}
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{true, true}))
	w.Expect(w.quarantined(popularPage)).To(Equal([]bool{false, false}))
	w.Expect(w.notices).To(Equal(3))
	w.Expect(w.gates[0].quarantinedRequests(w.now)).To(HaveLen(1))
	w.pass(quarantineDuration)
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{false, false}))
}

// Guards against a request that is sent to the next server as soon as one has crashed, and
// arrives there about as soon as the notice of the crash.
func TestCrashesInQuickSuccessionCountEach(t *testing.T) {
	w := newCrashWorld(t, 3)
	for gate := range 3 {
		startedAt := w.now
		w.pass(time.Millisecond)
		w.gates[gate].recordBroken(brokenRun{fingerprint: crashingRequest, server: "a", startedAt: startedAt, brokenAt: w.now})
		w.pass(time.Millisecond)
		w.gates[gate].recordUnreachable()
	}
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{true, true, true}))
}

// Guards against lost answers that count as crashes: a page that many clients read was
// refused by all gates although no server had crashed.
func TestLostAnswersQuarantineNoRequest(t *testing.T) {
	w := newCrashWorld(t, 2)
	for i := range 10 {
		w.breakRuns(i%2, popularPage)
		w.pass(time.Millisecond)
		w.gates[i%2].recordResponder("a", w.now)
		w.gates[i%2].recordUnreachable() // a crash without a run
		w.pass(runTime)
	}
	w.Expect(w.quarantined(popularPage)).To(Equal([]bool{false, false}))
}

// Guards against a server that is back before its gate has asked whether it is alive.
func TestRestartedServerCountsAsCrashed(t *testing.T) {
	w := newCrashWorld(t, 1)
	for range quarantineThreshold {
		w.breakRuns(0, crashingRequest)
		w.pass(time.Second)
		w.gates[0].recordResponder("b", w.now)
	}
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{true}))
}

// Guards against an answer that the server sent before it broke off a run: it does not
// show that the server is alive.
func TestEarlierAnswerDoesNotClearABrokenRun(t *testing.T) {
	w := newCrashWorld(t, 1)
	for range quarantineThreshold {
		w.breakRuns(0, crashingRequest)
		w.gates[0].recordResponder("a", w.now.Add(-runTime))
		w.gates[0].recordUnreachable()
		w.pass(time.Second)
	}
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{true}))
}

// Guards against requests that are taken for the cause of a crash because they were running:
// a page that many clients read runs at nearly every crash.
func TestPageThatOtherServersAnswerIsNotQuarantined(t *testing.T) {
	w := newCrashWorld(t, 4)
	for gate := range 3 {
		w.crash(gate, popularPage, crashingRequest, popularPage)
		w.pass(runTime)
		w.gates[3].recordAnswered(popularPage)
		w.pass(time.Second)
	}
	w.Expect(w.quarantined(popularPage)).To(Equal([]bool{false, false, false, false}))
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{true, true, true, true}))
}

// Guards against a loss of power that counts as one crash for each server.
func TestServersThatEndTogetherCountAsOneCrash(t *testing.T) {
	w := newCrashWorld(t, 5)
	for gate := range w.gates {
		w.crash(gate, popularPage, popularPage)
		w.pass(time.Millisecond)
	}
	w.Expect(w.quarantined(popularPage)).To(HaveEach(BeFalse()))
}

// Guards against a server that ends once and counts as often as clients read the page.
func TestConcurrentRunsCountAsOneCrash(t *testing.T) {
	w := newCrashWorld(t, 2)
	w.crash(0, popularPage, popularPage, popularPage)
	for range quarantineThreshold {
		w.crash(0, popularPage) // its connection is found broken later
	}
	w.Expect(w.quarantined(popularPage)).To(Equal([]bool{false, false}))
}

// Guards against memory that grows with the runs that faulty servers break off.
func TestBrokenRunsAreBounded(t *testing.T) {
	w := newCrashWorld(t, 1)
	for i := range 2 * maxBrokenRuns {
		w.breakRuns(0, uint64(i))
	}
	w.Expect(w.gates[0].broken).To(HaveLen(maxBrokenRuns))
	w.Expect(slices.ContainsFunc(w.gates[0].broken, func(r brokenRun) bool { return r.fingerprint == 0 })).To(BeFalse())
}

// breakingServer breaks off requests, and answers health checks if it is alive.
type breakingServer struct {
	instantServer
	alive atomic.Bool
}

func (s *breakingServer) Do(_ context.Context, r serverconn.Request) (*serverconn.Answer, error) {
	switch {
	case r.ServerRequest.Probe && s.alive.Load():
		return serverAnswer(http.StatusOK, protocol.ServerResponse{Signed: true, Server: "10.0.0.2"}), nil
	case r.ServerRequest.Probe:
		s.alive.Store(true) // it has been started again by the next health check
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, errors.New("connection refused"))
	default:
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, errors.New("connection reset"))
	}
}

// runBroken runs a request several times on a server that breaks it off each time, and
// returns the reason of the last run's failure.
func runBroken(t *testing.T, crashes bool) verdict.Reason {
	hop := newTestHop(t, newTestView(1))
	server := &breakingServer{}
	hop.client = server
	var reason verdict.Reason
	for i := range quarantineThreshold + 1 {
		server.alive.Store(!crashes)
		r := requestTo("10.0.0.2", http.NoBody, 0)
		r.ID, r.Fingerprint = r.ID+string(rune('a'+i)), crashingRequest
		_, err := hop.Run(context.Background(), r)
		reason = verdict.FromError(err).Reason
		time.Sleep(time.Second) // virtual: the health check ends
	}
	return reason
}

// Guards against gates that do not tell a lost answer from a crash.
func TestGateQuarantinesAfterCrashesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(runBroken(t, true)).To(Equal(verdict.ReasonQuarantined))
		g.Expect(runBroken(t, false)).To(Equal(verdict.ReasonConnectionLost))
	})
}

// Guards against a server that is full and thereby clears a request that crashes servers:
// its refusal says that the request did not run.
func TestRefusalOfTheServerClearsNoCrash(t *testing.T) {
	w := newCrashWorld(t, 1)
	hop := newTestHop(t, newTestView(1))
	hop.crashes = w.gates[0]
	for range quarantineThreshold {
		w.crash(0, crashingRequest)
		w.pass(time.Second)
	}
	r := requestTo("10.0.0.2", http.NoBody, 0)
	r.Fingerprint = crashingRequest
	hop.observeRun(r, serverAnswer(http.StatusServiceUnavailable, protocol.ServerResponse{NotExecuted: true, Server: "10.0.0.2"}), w.now)
	w.Expect(w.quarantined(crashingRequest)).To(Equal([]bool{true}))
}
