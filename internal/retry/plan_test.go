package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/verdict"
)

var start = time.Unix(1_800_000_000, 0)

var _ = Describe("Plan", func() {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil)
	leaving := verdict.Refuse(verdict.ReasonLeaving, time.Second)
	request := func(change func(*Request)) Request {
		r := Request{Service: "s", Idempotent: true, Retries: 2, Deadline: start.Add(time.Second)}
		change(&r)
		return r
	}

	DescribeTable("decides after the first failure",
		func(change func(*Request), a Attempt, kind Kind, why Why) {
			a.Now = start
			d := NewPolicy(Config{}).Start(request(change)).Next(a)
			Expect(d.Kind).To(Equal(kind))
			Expect(d.Why).To(Equal(why))
			Expect(d.Final == nil).To(Equal(kind != Stop))
		},
		Entry("retries what may run twice", func(*Request) {}, Attempt{Err: lost}, Retry, WhyPermitted),
		Entry("keeps what may not run twice", func(r *Request) { r.Idempotent = false }, Attempt{Err: lost}, Stop, WhyVerdict),
		Entry("moves what did not run", func(r *Request) { r.Idempotent = false }, Attempt{Err: leaving}, Move, WhyPermitted),
		Entry("keeps what ran", func(*Request) {}, Attempt{Err: verdict.New(verdict.Ran, verdict.ReasonCutAnswer, nil)}, Stop, WhyVerdict),
		Entry("no retry below a retry", func(r *Request) { r.UpstreamAttempt = 1 }, Attempt{Err: lost}, Stop, WhyUpstreamRetries),
		Entry("moves below a retry", func(r *Request) { r.UpstreamAttempt = 1 }, Attempt{Err: leaving}, Move, WhyPermitted),
		Entry("no try above one that gave up", func(*Request) {}, Attempt{Err: verdict.Refuse(verdict.ReasonRetryBudget, 0)}, Stop, WhyGaveUpBelow),
		Entry("no move of a poisonous request", func(*Request) {}, Attempt{Err: verdict.Refuse(verdict.ReasonQuarantined, 0)}, Stop, WhyReason),
		Entry("no try without time", func(r *Request) { r.Deadline = start.Add(time.Millisecond) }, Attempt{Err: lost}, Stop, WhyDeadline),
		Entry("no try without a body", func(*Request) {}, Attempt{Err: leaving, BodySpent: true}, Stop, WhyBodySpent),
		Entry("no try past the hop limit", func(r *Request) { r.Hops = 32 }, Attempt{Err: leaving}, Stop, WhyHopLimit),
		Entry("no try without retries", func(r *Request) { r.Retries = 0 }, Attempt{Err: lost}, Stop, WhyLimit),
	)

	It("says may have run when an earlier attempt may have", func() {
		p := NewPolicy(Config{}).Start(request(func(r *Request) { r.Retries = 1 }))
		Expect(p.Next(Attempt{Err: lost, Now: start}).Kind).To(Equal(Retry))
		d := p.Next(Attempt{Err: verdict.Refuse(verdict.ReasonQuarantined, 0), Now: start})
		Expect(d.Final.Verdict).To(Equal(verdict.MayHaveRun))
	})
})
