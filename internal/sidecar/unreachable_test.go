package sidecar

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

// Three hosts are suspended for a while: each dial takes a while to fail. When each was asked
// once only, the request was refused although the first one was back by then.
func TestGatesThatCouldNotBeReachedAreAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDispatcherFixture(t, 3)
		back := time.Now().Add(850 * time.Millisecond)
		w.peers.answer = func(context.Context, int, *contract.Request) (*contract.Answer, error) {
			if time.Now().Before(back) {
				time.Sleep(300 * time.Millisecond)
				return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, nil)
			}
			return answerWithStatus(http.StatusOK), nil
		}
		answer, e := w.do(t.Context(), false)
		w.Expect(e).To(BeNil())
		w.Expect(answer.Status).To(Equal(http.StatusOK))
		w.Expect(w.peers.sendCount()).To(Equal(4))
	})
}

// No host comes back: the request must not go round until its deadline.
func TestGatesThatStayUnreachableAreAskedTwiceAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDispatcherFixture(t, 3)
		w.peers.answer = func(context.Context, int, *contract.Request) (*contract.Answer, error) {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, nil)
		}
		_, e := w.do(t.Context(), false)
		w.Expect(e.Verdict).To(Equal(verdict.NotRun))
		w.Expect(w.peers.sendCount()).To(BeNumerically("<=", 2*3))
	})
}
