package lasthop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"boragefall/internal/contract"
	"boragefall/internal/gate"
	"boragefall/internal/verdict"
)

// send sends an admitted request to the backend server. The permit is released with the
// answer's body, or at once on an error.
func (h *Hop) send(ctx context.Context, r *contract.Request, permit *gate.Permit) (*contract.Answer, error) {
	ctx, span := h.cfg.Tracer.Start(ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	started := time.Now()
	answer, err := h.cfg.Backend.Do(ctx, r)
	latency := time.Since(started)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		permit.Done(gate.Outcome{Kind: errorOutcome(verdict.FromError(err)), Latency: latency})
		return nil, err
	}
	outcome := gate.Outcome{
		Kind:    statusOutcome(answer.Status),
		Latency: latency,
		BootID:  answer.Header.Get(contract.HeaderBootID),
	}
	answer.Load = h.Load()
	answer.Body = &permitBody{ReadCloser: answer.Body, permit: permit, outcome: outcome}
	if refusal := serverRefusal(r, answer); refusal != nil {
		_ = answer.Body.Close()
		return nil, refusal
	}
	return answer, nil
}

func errorOutcome(e *verdict.Error) gate.OutcomeKind {
	switch {
	case e.Reason == verdict.ReasonCanceled:
		return gate.OutcomeCanceled
	case e.Reason == verdict.ReasonDeadline:
		return gate.OutcomeTimeout
	case e.Verdict == verdict.NotRun:
		return gate.OutcomeConnectionRefused
	default:
		return gate.OutcomeCrashed
	}
}

func statusOutcome(status int) gate.OutcomeKind {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return gate.OutcomeShed
	case status >= http.StatusInternalServerError:
		return gate.OutcomeError
	default:
		return gate.OutcomeSuccess
	}
}

// serverRefusal turns a refusal by the server itself into a failed attempt, so that another
// server can be tried. Only the server's verdict header makes it NotRun; without it, a 503
// of an idempotent request may have run.
func serverRefusal(r *contract.Request, answer *contract.Answer) *verdict.Error {
	if statusOutcome(answer.Status) != gate.OutcomeShed {
		return nil
	}
	wait := parseRetryAfter(answer.Header)
	if answer.Header.Get(contract.HeaderVerdict) == verdict.NotRun.String() {
		// Proof: the server's verdict header states that it did not run the request.
		return verdict.Refuse(verdict.ReasonOverloaded, wait)
	}
	if !r.Idempotent {
		return nil
	}
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonOverloaded, nil)
	e.RetryAfter = wait
	return e
}

// maxServerRetryAfterSeconds bounds the Retry-After of a server that is passed on.
const maxServerRetryAfterSeconds = 3600

func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil && !errors.Is(err, strconv.ErrRange) || seconds < 0 {
		return time.Second
	}
	return time.Duration(min(seconds, maxServerRetryAfterSeconds)) * time.Second
}

// permitBody releases the permit when the answer has been read or closed.
type permitBody struct {
	io.ReadCloser
	permit  *gate.Permit
	outcome gate.Outcome
	once    sync.Once
}

// Read reads the body. A body that ends early is recorded as a crash of the server.
func (b *permitBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(b.outcome)
	} else if err != nil {
		b.finish(gate.Outcome{Kind: gate.OutcomeCrashed, Latency: b.outcome.Latency})
	}
	return n, err
}

// Close closes the body. Before the end of the body, it is recorded as canceled by the
// caller.
func (b *permitBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(gate.Outcome{Kind: gate.OutcomeCanceled, Latency: b.outcome.Latency, BootID: b.outcome.BootID})
	return err
}

func (b *permitBody) finish(o gate.Outcome) {
	b.once.Do(func() { b.permit.Done(o) })
}
