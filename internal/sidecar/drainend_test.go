package sidecar

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/admission"
	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

// Guards against a gate that hands a request to its server, and stops before the answer.
func TestStoppingGateRefusesWhatItCannotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const work, remaining = 700 * time.Millisecond, 500 * time.Millisecond
		hop := newTestHop(t, newTestView(1))
		hop.client = instantServer{}
		now := time.Now()
		permit, err := hop.gate.Admit(t.Context(), admission.Request{Class: "upload", Deadline: now.Add(time.Minute), Objective: now.Add(time.Minute)})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(work)
		permit.Done(false)
		hop.drain.set(time.Now().Add(remaining))
		_, err = hop.Run(t.Context(), requestTo("10.0.0.2", http.NoBody, 0))
		g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonLeaving))
		hop.drain.set(time.Now().Add(2 * work))
		_, err = hop.Run(t.Context(), requestTo("10.0.0.2", http.NoBody, 0))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a node that starts an attempt, a repeat too, that outlasts its stop.
func TestStoppingEntryStartsNoAttemptThatItCannotAnswer(t *testing.T) {
	w := newDispatcherFixture(t, 3)
	w.peers.answer = func(_ context.Context, n int, _ *contract.Request) (*contract.Answer, error) {
		if n == 0 {
			return answerWithStatus(http.StatusOK), nil
		}
		w.dispatcher.drain.set(time.Now())
		return answerWithStatus(http.StatusInternalServerError), nil
	}
	_, e := w.do(t.Context(), true)
	w.Expect(e).To(BeNil())
	answer, e := w.do(t.Context(), true)
	w.Expect(e).To(BeNil())
	w.Expect(answer.Status).To(Equal(http.StatusInternalServerError)) // not repeated
	_, e = w.do(t.Context(), true)
	w.Expect(e.Verdict).To(Equal(verdict.NotRun))
	w.Expect(w.peers.sendCount()).To(Equal(2))
}

// Guards against a gate that queues a request beyond the stop of the node that sent it.
func TestAttemptsEndWithTheDrain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := &drainEnd{}
	g.Expect(d.limit(now)).To(Equal(now))
	d.set(now)
	g.Expect(d.limit(now.Add(time.Second))).To(Equal(now.Add(-answerDeliveryReserve)))
	g.Expect(d.limit(now.Add(-time.Second))).To(Equal(now.Add(-time.Second)))
}

// Guards against a stopping node that refuses the calls of the runs that it waits for.
func TestCallsOfRunsInProgressAreRecognized(t *testing.T) {
	w := newDispatcherFixture(t, 1)
	w.dispatcher.hop.runs.begin("9c41", &run{})
	w.Expect(w.dispatcher.isNestedCall("9c41.1")).To(BeTrue())
	w.Expect(w.dispatcher.isNestedCall("9c42.1")).To(BeFalse())
	w.Expect(w.dispatcher.isNestedCall("9c41")).To(BeFalse())
}
