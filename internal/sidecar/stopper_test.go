package sidecar

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/telemetry"
)

// Guards against cutting off answers at a stop: links were closed as soon as the server
// ran nothing, while refusals and answers to other nodes were still being sent.
func TestDrainWaitsForAnswersToOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		state := newNodeState()
		s := &stopper{
			drainLimit: 10 * time.Second, state: state, hop: newTestHop(t, newTestView(1)),
			callers: callersServer{&http.Server{}}, logger: telemetry.Silent(), answersDelivered: func() bool { return true },
		}
		const answerAfter = 4 * time.Second
		state.peerRequests.Add(1)
		time.AfterFunc(answerAfter, func() { state.peerRequests.Add(-1) })
		started := time.Now()
		s.drain(t.Context())
		g.Expect(time.Since(started)).To(BeNumerically(">=", answerAfter))
		g.Expect(time.Since(started)).To(BeNumerically("<", answerAfter+2*drainPollInterval))
	})
}

// Guards against a stop that ends while a narrow link still carries an answer: the answer
// had been written, but the process closed the link before its peer had all of it.
func TestDrainWaitsUntilAnswersHaveArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const arrivesAfter = 4 * time.Second
		started := time.Now()
		s := &stopper{
			drainLimit: 10 * time.Second, state: newNodeState(), hop: newTestHop(t, newTestView(1)),
			callers: callersServer{&http.Server{}}, logger: telemetry.Silent(),
			answersDelivered: func() bool { return time.Since(started) >= arrivesAfter },
		}
		s.drain(t.Context())
		g.Expect(time.Since(started)).To(BeNumerically(">=", arrivesAfter))
		g.Expect(time.Since(started)).To(BeNumerically("<", arrivesAfter+2*drainPollInterval))
	})
}
