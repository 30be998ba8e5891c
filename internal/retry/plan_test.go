package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/verdict"
)

var start = time.Unix(1_800_000_000, 0)

var _ = Describe("Plan", func() {
	connectionLost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil)
	leaving := verdict.Refuse(verdict.ReasonLeaving, time.Second)
	request := func(modify func(*Request)) Request {
		r := Request{Service: "s", Idempotent: true, MaxRetries: 2, Deadline: start.Add(time.Second)}
		modify(&r)
		return r
	}

	DescribeTable("decides after the first failure",
		func(modify func(*Request), a Attempt, kind Kind, reason StopReason) {
			a.Now = start
			d := NewPolicy(Config{}).Start(request(modify)).Next(a)
			Expect(d.Kind).To(Equal(kind))
			Expect(d.StopReason).To(Equal(reason))
			Expect(d.Final == nil).To(Equal(kind != Stop))
		},
		Entry("retries what may run twice", func(*Request) {}, Attempt{Err: connectionLost}, Retry, StopNone),
		Entry("keeps what may not run twice", func(r *Request) { r.Idempotent = false }, Attempt{Err: connectionLost}, Stop, StopVerdict),
		Entry("moves what did not run", func(r *Request) { r.Idempotent = false }, Attempt{Err: leaving}, Reroute, StopNone),
		Entry("keeps what ran", func(*Request) {}, Attempt{Err: verdict.New(verdict.Ran, verdict.ReasonCutAnswer, nil)}, Stop, StopVerdict),
		Entry("no retry below a retry", func(r *Request) { r.IncomingAttempt = 1 }, Attempt{Err: connectionLost}, Stop, StopEarlierHopRetries),
		Entry("moves below a retry", func(r *Request) { r.IncomingAttempt = 1 }, Attempt{Err: leaving}, Reroute, StopNone),
		Entry("no try above one that gave up", func(*Request) {}, Attempt{Err: verdict.Refuse(verdict.ReasonRetryBudget, 0)}, Stop, StopLaterHopGaveUp),
		Entry("no move of a poisonous request", func(*Request) {}, Attempt{Err: verdict.Refuse(verdict.ReasonQuarantined, 0)}, Stop, StopNotRetryable),
		Entry("no try without time", func(r *Request) { r.Deadline = start.Add(time.Millisecond) }, Attempt{Err: connectionLost}, Stop, StopDeadline),
		Entry("no try without a body", func(*Request) {}, Attempt{Err: leaving, BodyConsumed: true}, Stop, StopBodyConsumed),
		Entry("no try past the hop limit", func(r *Request) { r.Hops = 32 }, Attempt{Err: leaving}, Stop, StopHopLimit),
		Entry("no try without retries", func(r *Request) { r.MaxRetries = 0 }, Attempt{Err: connectionLost}, Stop, StopAttemptLimit),
	)

	It("says may have run when an earlier attempt may have", func() {
		p := NewPolicy(Config{}).Start(request(func(r *Request) { r.MaxRetries = 1 }))
		Expect(p.Next(Attempt{Err: connectionLost, Now: start}).Kind).To(Equal(Retry))
		d := p.Next(Attempt{Err: verdict.Refuse(verdict.ReasonQuarantined, 0), Now: start})
		Expect(d.Final.Verdict).To(Equal(verdict.MayHaveRun))
	})
})
