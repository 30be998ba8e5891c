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

	DescribeTable("evaluates the first failed attempt:",
		func(modify func(*Request), a Attempt, kind Kind, reason StopReason) {
			a.Now = start
			d := NewPolicy(Config{}).Start(request(modify)).Next(a)
			Expect(d.Kind).To(Equal(kind))
			Expect(d.StopReason).To(Equal(reason))
			Expect(d.Final == nil).To(Equal(kind != Stop))
		},
		Entry("retries an idempotent request that may have run", func(*Request) {}, Attempt{Err: connectionLost}, Retry, StopNone),
		Entry("stops a non-idempotent request that may have run", func(r *Request) { r.Idempotent = false }, Attempt{Err: connectionLost}, Stop, StopVerdict),
		Entry("reroutes a request that did not run", func(r *Request) { r.Idempotent = false }, Attempt{Err: leaving}, Reroute, StopNone),
		Entry("stops a request that ran", func(*Request) {}, Attempt{Err: verdict.New(verdict.Ran, verdict.ReasonCutAnswer, nil)}, Stop, StopVerdict),
		Entry("does not retry when an earlier hop retries", func(r *Request) { r.IncomingAttempt = 1 }, Attempt{Err: connectionLost}, Stop, StopEarlierHopRetries),
		Entry("reroutes when an earlier hop retries", func(r *Request) { r.IncomingAttempt = 1 }, Attempt{Err: leaving}, Reroute, StopNone),
		Entry("stops when a later hop gave up", func(*Request) {}, Attempt{Err: verdict.Refuse(verdict.ReasonRetryBudget, 0)}, Stop, StopLaterHopGaveUp),
		Entry("does not reroute a quarantined request", func(*Request) {}, Attempt{Err: verdict.Refuse(verdict.ReasonQuarantined, 0)}, Stop, StopNotRetryable),
		Entry("stops when too little time is left", func(r *Request) { r.Deadline = start.Add(time.Millisecond) }, Attempt{Err: connectionLost}, Stop, StopDeadline),
		Entry("stops when the streamed body is consumed", func(*Request) {}, Attempt{Err: leaving, BodyConsumed: true}, Stop, StopBodyConsumed),
		Entry("stops at the hop limit", func(r *Request) { r.Hops = 32 }, Attempt{Err: leaving}, Stop, StopHopLimit),
		Entry("stops when the route permits no retries", func(r *Request) { r.MaxRetries = 0 }, Attempt{Err: connectionLost}, Stop, StopAttemptLimit),
	)

	It("returns may-have-run when an earlier attempt may have run", func() {
		p := NewPolicy(Config{}).Start(request(func(r *Request) { r.MaxRetries = 1 }))
		Expect(p.Next(Attempt{Err: connectionLost, Now: start}).Kind).To(Equal(Retry))
		d := p.Next(Attempt{Err: verdict.Refuse(verdict.ReasonQuarantined, 0), Now: start})
		Expect(d.Final.Verdict).To(Equal(verdict.MayHaveRun))
	})
})
