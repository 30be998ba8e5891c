// Package dispatch sends a caller's request to a backend server: it selects the server,
// makes the attempts that the verdicts permit and returns one answer or one final error.
package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/retry"
	"boragefall/internal/routing"
	"boragefall/internal/verdict"
)

// LocalGate runs requests at the gate of this node.
type LocalGate interface {
	Run(ctx context.Context, r *contract.Request) (*contract.Answer, error)
}

// RemoteGates runs requests at the gate of another node.
type RemoteGates interface {
	Do(ctx context.Context, address string, r *contract.Request) (*contract.Answer, error)
}

// Body provides the body of a request for each attempt.
type Body interface {
	// Open returns the body for the next attempt. It returns false when the body was
	// streamed before and can't be read again.
	Open() (io.Reader, bool)
	// CanOpen reports whether the next call of Open returns the body.
	CanOpen() bool
}

// Meter counts attempts by result.
type Meter interface {
	Attempted(result string)
}

// ContactObserver records which hosts this node reached or failed to reach.
type ContactObserver interface {
	ObserveContact(id host.ID, now time.Time)
	ObserveFailure(id host.ID, now time.Time)
}

// Config holds the dependencies of a Dispatcher. All fields are required.
type Config struct {
	Self      host.ID
	Local     LocalGate
	Remote    RemoteGates
	Directory *routing.Directory
	Policy    *retry.Policy
	HostList  func() *host.List
	Contacts  ContactObserver
	Tracer    trace.Tracer
	Meter     Meter
}

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	cfg    Config
	random rand.Source
}

// New returns a Dispatcher with the given dependencies.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, random: routing.Random{}}
}

// Do sends a request until it is answered or no further attempt is permitted. It doesn't wait for
// the Retry-After of a refusal: it tries another server or returns the refusal. Errors are
// *verdict.Error.
func (d *Dispatcher) Do(ctx context.Context, r *contract.Request, body Body, retries int) (*contract.Answer, error) {
	plan := d.cfg.Policy.Start(retry.Request{
		Service:         r.Service,
		Idempotent:      r.Idempotent,
		MaxRetries:      retries,
		Deadline:        r.Deadline,
		IncomingAttempt: uint32(r.Attempt),
		Hops:            uint32(r.Hops),
	})
	// The caller may send such a request again under its key, possibly to another entry
	// node, so all entry nodes must try the hosts in the same order.
	if r.Key != "" && !r.KeyMinted && !r.Idempotent {
		return d.sendKeyed(ctx, r, body, plan)
	}
	return d.sendBalanced(ctx, r, body, plan)
}

// sendBalanced sends a request to any server of its service.
func (d *Dispatcher) sendBalanced(ctx context.Context, r *contract.Request, body Body, plan *retry.Plan) (*contract.Answer, error) {
	var tried []host.ID
	var lastErr error
	for {
		server, refusal := d.chooseServer(r.Service, tried)
		if refusal != nil {
			return nil, finalError(plan, lastErr, refusal)
		}
		tried = append(tried, server.Host)
		answer, err := d.attempt(ctx, server, r, body)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		decision := plan.Next(retry.Attempt{Err: err, Now: time.Now(), BodyConsumed: !body.CanOpen()})
		if decision.Kind == retry.Stop {
			return nil, decision.Final
		}
		r.Attempt = int(decision.Attempt)
	}
}

func (d *Dispatcher) chooseServer(service string, tried []host.ID) (*routing.Server, *verdict.Error) {
	pool, ok := d.cfg.Directory.Pool(service)
	if !ok {
		// Proof: the service has no known server, so nothing was sent.
		return nil, verdict.Refuse(verdict.ReasonLacksResource, time.Second)
	}
	server, ok := pool.Choose(d.random, tried, time.Now())
	if !ok {
		return nil, pool.Refusal()
	}
	return server, nil
}

// finalError returns the error of a request when no server is left to try.
func finalError(plan *retry.Plan, lastErr error, refusal *verdict.Error) *verdict.Error {
	if lastErr == nil {
		return refusal
	}
	return plan.FinalError(lastErr)
}

// attempt sends a request to one server. The caller has counted the request as outstanding
// in the server's statistics. attempt ends that when it fails, or else when the body of the
// answer is closed.
func (d *Dispatcher) attempt(ctx context.Context, server *routing.Server, r *contract.Request, body Body) (*contract.Answer, error) {
	ctx, span := d.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("request", r.ID),
		attribute.String("to", string(server.Host)),
		attribute.Int("attempt", r.Attempt),
	))
	defer span.End()
	started := time.Now()
	answer, err := d.send(ctx, server, r, body)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		d.cfg.Meter.Attempted(verdict.FromError(err).Reason.String())
		countPossibleCrash(r, err)
		d.reportUnreachable(server.Host, err)
		server.Stats.Finish(routing.Outcome{At: time.Now(), Latency: time.Since(started), Err: err})
		return nil, err
	}
	d.cfg.Meter.Attempted("answered")
	d.cfg.Contacts.ObserveContact(server.Host, time.Now())
	server.Stats.Observe(routing.Load{
		Running: answer.Load.Running, Queued: answer.Load.Queued, Limit: answer.Load.Limit, State: answer.Load.State,
	}, time.Now())
	answer.Body = &countedBody{ReadCloser: answer.Body, stats: server.Stats, started: started}
	return answer, nil
}

func (d *Dispatcher) send(ctx context.Context, server *routing.Server, r *contract.Request, body Body) (*contract.Answer, error) {
	reader, ok := body.Open()
	if !ok {
		// Proof: without a body to send, this attempt sends nothing.
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, nil)
	}
	// The gate gets its own copy: a keyed request may still run there after this attempt
	// ends, while the next attempt changes r.
	outgoing := *r
	outgoing.Body = reader
	if server.Host == d.cfg.Self {
		return d.cfg.Local.Run(ctx, &outgoing)
	}
	return d.cfg.Remote.Do(ctx, server.Address, &outgoing)
}

// countPossibleCrash counts a lost connection as a possible crash of the server. The count is sent to the next gate, so
// that it can quarantine requests that crash servers.
func countPossibleCrash(r *contract.Request, err error) {
	if verdict.FromError(err).Reason == verdict.ReasonConnectionLost {
		r.Crashes++
	}
}

// reportUnreachable reports a host as failed if no link to it could be made. A refusal by
// the host's gate shows that the host is up and is not reported.
func (d *Dispatcher) reportUnreachable(id host.ID, err error) {
	if id != d.cfg.Self && errors.Is(err, link.ErrUnreachable) {
		d.cfg.Contacts.ObserveFailure(id, time.Now())
	}
}
