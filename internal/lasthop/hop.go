// Package lasthop runs requests at the node beside their backend server. It
// alone decides, on what it knows itself: the gate's limits, the ledger of
// keys, the ownership of keys. What other nodes believe is only a hint.
package lasthop

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"boragefall/internal/backend"
	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/ledger"
	"boragefall/internal/ownership"
	"boragefall/internal/verdict"
)

// Owner decides whether this host may run a key.
type Owner interface {
	// MayRun returns nil when the key may run here now.
	MayRun(claim ownership.Claim, now time.Time) *verdict.Error
	// Refusal returns a refusal, weakened to MayHaveRun when this host no
	// longer speaks for the key.
	Refusal(claim ownership.Claim, refusal *verdict.Error, now time.Time) *verdict.Error
	// LastRank reports whether an entry would ask no further host if this one
	// fenced the key.
	LastRank(claim ownership.Claim) bool
}

// Config names the parts of a Hop. All fields are required.
type Config struct {
	Host     host.ID
	Service  string
	Snapshot func() *config.Snapshot
	Gate     *gate.Gate
	Ledger   *ledger.Ledger
	Owner    Owner
	Backend  *backend.Client
	Tracer   trace.Tracer
	Logger   *log.Logger
}

// Hop runs requests on the backend server beside this node.
type Hop struct {
	cfg Config
}

// New returns a Hop.
func New(cfg Config) *Hop {
	return &Hop{cfg: cfg}
}

// Run runs a request or refuses it. Its errors are *verdict.Error.
func (h *Hop) Run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	ctx, span := h.cfg.Tracer.Start(ctx, "gate", trace.WithAttributes(
		attribute.String("request", r.ID),
		attribute.String("host", string(h.cfg.Host)),
	))
	defer span.End()
	answer, err := h.run(ctx, r)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, err
	}
	return answer, nil
}

func (h *Hop) run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	service, refusal := h.findService(r)
	switch {
	case refusal != nil && isKeyed(r):
		// An earlier send of the key may have run before the resource went.
		refusal.Verdict = verdict.MayHaveRun
		return nil, refusal
	case refusal != nil:
		return nil, refusal
	case isKeyed(r):
		return h.runKeyed(ctx, r, service)
	default:
		return h.runUnkeyed(ctx, r)
	}
}

// isKeyed reports whether other processes may send the same key.
func isKeyed(r *contract.Request) bool {
	return r.Key != "" && !r.Idempotent && !r.KeyMinted
}

// findService returns the service when this host can serve the request at all.
func (h *Hop) findService(r *contract.Request) (config.Service, *verdict.Error) {
	// Proof for each refusal: the request was not handed to the server.
	if r.Hops > contract.HopLimit {
		return config.Service{}, verdict.Refuse(verdict.ReasonHopLimit, 0)
	}
	snapshot := h.cfg.Snapshot()
	if snapshot == nil || r.Service != h.cfg.Service {
		return config.Service{}, verdict.Refuse(verdict.ReasonLacksResource, unknownServiceRetryAfter)
	}
	service, ok := snapshot.Document.Services[r.Service]
	if !ok {
		return config.Service{}, verdict.Refuse(verdict.ReasonLacksResource, unknownServiceRetryAfter)
	}
	return service, nil
}

// unknownServiceRetryAfter is the wait after which a new version has surely spread.
const unknownServiceRetryAfter = time.Second

// runUnkeyed runs a request that no other process can send again.
func (h *Hop) runUnkeyed(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	permit, err := h.cfg.Gate.Admit(ctx, h.admission(r))
	if err != nil {
		return nil, err
	}
	return h.send(ctx, r, permit)
}

// admission describes a request to the gate. The caller's weight is that of
// this host's own configuration.
func (h *Hop) admission(r *contract.Request) gate.Request {
	return gate.Request{
		Caller:          r.Caller,
		Weight:          h.cfg.Snapshot().Document.Callers[r.Caller].Weight,
		Priority:        r.Priority,
		Deadline:        r.Deadline,
		Idempotent:      r.Idempotent,
		Fingerprint:     r.Fingerprint,
		Class:           r.Route,
		ReportedCrashes: r.Crashes,
	}
}

// Load returns the gate's load as answers carry it.
func (h *Hop) Load() contract.Load {
	l := h.cfg.Gate.Load()
	return contract.Load{Running: l.Running, Queued: l.Queued, Limit: l.Limit, State: l.State}
}
