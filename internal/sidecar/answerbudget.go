package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/contract"
	"boragefall/internal/linkbudget"
	"boragefall/internal/serverconn"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

// answerTransitTime is the time that a large answer takes from its gate's link to the caller:
// through the entry node, which shares a small host with its server.
const answerTransitTime = 20 * time.Millisecond

// answerBudget reserves capacity of the host's outbound link for the large answers of the
// server beside this node.
type answerBudget struct {
	link    *linkbudget.Link
	sizes   *linkbudget.Sizes
	spreads *linkbudget.Spreads
}

func newAnswerBudget(linkMbps float64, backlog func() int64, logger *log.Logger) *answerBudget {
	b := &answerBudget{
		link:  linkbudget.NewLink(linkMbps*1e6/bitsPerByte, backlog),
		sizes: linkbudget.NewSizes(), spreads: linkbudget.NewSpreads(),
	}
	b.link.OnSlow(func(slow bool, rate, bound int64) {
		message := "link is slower than configured"
		if !slow {
			message = "link has its configured rate again"
		}
		logger.Info().Str("part", "gate").Int64("rate", rate).Int64("configured", bound).Msg(message)
	})
	return b
}

// registerMetrics registers the metrics of the link.
func (b *answerBudget) registerMetrics(m *telemetry.Metrics) {
	gauge := func(name, help string, value func(linkbudget.Status) float64) {
		m.Gauge(name, help, func() float64 { return value(b.link.Status()) })
	}
	gauge("link_reserved_bytes", "Bytes of large answers for which link capacity is reserved.", func(s linkbudget.Status) float64 { return float64(s.Reserved) })
	gauge("link_queue_seconds", "Time until the reserved bytes have been sent.", func(s linkbudget.Status) float64 { return s.Delay.Seconds() })
	gauge("link_bytes_per_second", "Measured rate for large answers.", func(s linkbudget.Status) float64 { return float64(s.Rate) })
	gauge("link_answers_per_second", "Large answers that the link can carry at that rate; 0 while their size is unknown.", func(s linkbudget.Status) float64 { return s.AnswersPerSecond })
	m.Counter("link_sent_bytes_total", "Bytes of large answers that were sent.", func() float64 { return float64(b.link.Status().Sent) })
	m.Counter("link_refusals_total", "Requests refused for lack of link capacity.", func() float64 { return float64(b.link.Status().Refused) })
}

// logRefusal logs a refusal for lack of link capacity.
func (b *answerBudget) logRefusal(logger *log.Logger, r *contract.Request, e *verdict.Error) {
	status := b.link.Status()
	logger.Info().Str("part", "gate").Str("request", r.ID).Str("route", r.Route).Str("server", r.Server).
		Str("reason", e.Reason.String()).Str("wants", "link capacity").Int64("bytes", b.sizes.Estimate(r.Route)).
		Dur("link_queue", status.Delay).Int64("rate", status.Rate).Dur("retry_after", e.RetryAfter).Msg("refused")
}

// report adds the state of the link to a load report.
func (b *answerBudget) report(load *contract.Load) {
	status := b.link.Status()
	load.AnswerQueueDelay, load.AnswerRate = status.Delay, status.Rate
}

// answerReservation is the capacity that is reserved for one request's answer.
type answerReservation struct {
	budget *answerBudget
	// reserved is nil if the answer is expected to be small.
	reserved *linkbudget.Reservation
	// transferTime is the time that sending the answer is expected to take.
	transferTime time.Duration
}

// reserve reserves capacity for a request's answer if it is expected to be large.
// serviceTime is the expected time until the server has answered.
func (b *answerBudget) reserve(r *contract.Request, serviceTime time.Duration) (*answerReservation, *verdict.Error) {
	size := b.sizes.Estimate(r.Route)
	if size < contract.LargeAnswerBytes || !b.link.Enabled() {
		return &answerReservation{budget: b}, nil
	}
	reserved, wait := b.link.Reserve(b.request(r, size, serviceTime))
	if reserved == nil {
		// Proof: nothing was handed to the server yet.
		return nil, verdict.Refuse(verdict.ReasonOverloaded, max(wait, shortRetryAfter))
	}
	return &answerReservation{budget: b, reserved: reserved, transferTime: b.link.TransferTime(size)}, nil
}

// request describes an answer of some bytes that is ready in a given time.
func (b *answerBudget) request(r *contract.Request, bytes int64, readyIn time.Duration) linkbudget.Request {
	objective := r.Objective
	if objective.IsZero() {
		objective = r.Deadline
	}
	return linkbudget.Request{
		Bytes: bytes, ReadyIn: readyIn, Deadline: r.Deadline, Latest: objective.Add(-answerTransitTime),
		Due:     objective.Add(-answerTransitTime - b.spreads.Reserve(r.Route, time.Until(objective))),
		MustRun: r.HasPriorWork, Spare: r.Hedge,
	}
}

// observe records how long a run took, and the size of its answer once it has been read. The
// length that a server states is no size: of a faulty server it may be any number.
func (b *answerBudget) observe(r *contract.Request, a *serverconn.Answer, took time.Duration) {
	b.spreads.Observe(r.Route, took)
	switch {
	case r.Method == http.MethodHead || a.ContentLength < 0:
	case a.Buffered:
		b.sizes.Observe(r.Route, a.ContentLength)
	default:
		a.Body = &measuredBody{ReadCloser: a.Body, route: r.Route, sizes: b.sizes}
	}
}

// release frees the capacity unless the answer is being sent.
func (a *answerReservation) release() {
	a.budget.link.Release(a.reserved)
}

// send returns the answer's body, which a large answer reads at the pace of the link.
func (a *answerReservation) send(ctx context.Context, r *contract.Request, answer *contract.Answer) io.ReadCloser {
	link := a.budget.link
	large := answer.ContentLength >= contract.LargeAnswerBytes || answer.ContentLength < 0 && a.reserved != nil
	if !large || !link.Enabled() {
		link.RecordSmall(max(answer.ContentLength, 0))
		return answer.Body
	}
	reserved := a.reserved
	a.reserved = nil // the body releases it
	return link.Send(ctx, reserved, answer.Body, a.budget.request(r, answer.ContentLength, 0))
}
