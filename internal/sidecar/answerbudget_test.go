package sidecar

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/linkbudget"
	"boragefall/internal/verdict"
)

// A request whose answer would be sent too late is refused before it takes a server
// slot, with the time at which there is capacity.
func TestRequestIsRefusedWhenItsAnswerWouldMissTheDeadline(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	r := requestTo("10.0.0.2", strings.NewReader(""), 0)
	r.Objective, r.Deadline = time.Now().Add(400*time.Millisecond), time.Now().Add(600*time.Millisecond)
	hop.answers.sizes.Observe(r.Route, 90_000)
	const large = 3_000_000 // 0.9 s at 27 Mbit/s
	earlier, _ := hop.answers.link.Reserve(linkbudget.Request{Bytes: large, Due: time.Now().Add(time.Minute), Latest: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute), MustRun: true})
	earlierDue, _ := hop.answers.link.Reserve(linkbudget.Request{Bytes: large, Due: time.Now().Add(100 * time.Millisecond), Latest: time.Now().Add(100 * time.Millisecond), Deadline: time.Now().Add(100 * time.Millisecond), MustRun: true})
	_, err := hop.Run(context.Background(), r)
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonOverloaded))
	g.Expect(verdict.FromError(err).RetryAfter).To(BeNumerically(">", shortRetryAfter))
	g.Expect(hop.answers.sizes.Estimate(r.Route)).To(BeNumerically(">=", contract.LargeAnswerBytes))
	g.Expect(hop.Load().AnswerQueueDelay).To(BeNumerically(">", time.Second))
	hop.answers.link.Release(earlier)
	hop.answers.link.Release(earlierDue)
	_, err = hop.Run(context.Background(), r)
	g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonUnreachable)) // no server listens in this test
	g.Expect(hop.Load().AnswerQueueDelay).To(BeZero(), "released when the run failed")
}
