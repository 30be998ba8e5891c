package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/phuslu/log"

	"boragefall/internal/admission"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/verdict"
)

const (
	// answerTransitReserve is taken off the time that a server gets, for the way of its
	// answer back to the caller.
	answerTransitReserve = 5 * time.Millisecond
	// maxTrackedIDs bounds the ids that were handed over or barred; it covers
	// several seconds at a full server.
	maxTrackedIDs = 4096
	// shortRetryAfter goes on refusals that another server may not give.
	shortRetryAfter = 50 * time.Millisecond
)

// backend is the way to the server beside this node.
type backend interface {
	// Do runs a request on the server. Its errors are *verdict.Error.
	Do(ctx context.Context, r serverconn.Request) (*serverconn.Answer, error)
	// CloseIdle closes the connections that no request uses.
	CloseIdle()
	// SetMaxConnections bounds the connections to the server.
	SetMaxConnections(n int)
}

// LastHop runs requests on the backend server beside this node, or refuses
// them. It alone decides; what an entry knows of the server is a hint.
type LastHop struct {
	address string
	service string
	view    func() *catalog.View
	gate    *admission.Gate
	client  backend
	prober  *prober
	crashes *crashTracker
	bodies  *bodyReceiver
	// answerPacer is the link that answerPacer leave over, sizes how large they are.
	answerPacer *answerPacer
	answerSizes *answerSizes
	coldLimit   ColdStartLimit
	logger      *log.Logger
	// runs is what the server works on.
	runs activeRuns

	mu sync.Mutex
	// handedOverByID holds the ids that were handed over (true) or barred (false).
	handedOverByID *lru.Cache[string, bool]
	// lastListing is the server's last listing; nil before the first.
	lastListing *catalog.Listing
	// respondingServer is the server that answered last, by its own word, and heardAt
	// is when; empty before the first.
	respondingServer mesh.ServerID
	respondedAt      time.Time
	// evacuated is whether the server's data centre was taken out at the last view.
	evacuated bool
	stopping  bool
}

// LastHopConfig names the parts of a LastHop. All fields are required.
type LastHopConfig struct {
	// Address is the backend server's, IP:port.
	Address string
	// Service is the service of the backend server.
	Service   string
	View      func() *catalog.View
	Client    backend
	Crashes   *crashTracker
	Bodies    *bodyReceiver
	ColdLimit ColdStartLimit
	Logger    *log.Logger
}

// ColdStartLimit is what a server may get in any second while it is cold.
type ColdStartLimit struct {
	// Overshoot is the permitted multiple of the rate that the server bears.
	Overshoot float64
	// Slack is the number of requests permitted beside that.
	Slack float64
}

// requestsPerSecond returns the bound for a server that bears a rate; 0 when none is known.
func (b ColdStartLimit) requestsPerSecond(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*b.Overshoot + b.Slack
}

// NewLastHop returns a last hop that holds all work until the server was
// heard of.
func NewLastHop(cfg LastHopConfig) (*LastHop, error) {
	handedOverByID, err := lru.New[string, bool](maxTrackedIDs)
	if err != nil {
		return nil, err
	}
	h := &LastHop{
		address: cfg.Address, service: cfg.Service, view: cfg.View, client: cfg.Client,
		crashes: cfg.Crashes, bodies: cfg.Bodies, coldLimit: cfg.ColdLimit, logger: cfg.Logger, handedOverByID: handedOverByID,
		gate: admission.NewGate(1, 0), answerPacer: &answerPacer{rate: cfg.Bodies.rate}, answerSizes: newAnswerSizes(),
	}
	h.prober = &prober{hop: h}
	return h, nil
}

// Load returns how busy the server is.
func (h *LastHop) Load() contract.Load {
	load := h.gate.Load()
	load.BodyWait, load.BodyRate = h.bodies.queueDelay(), h.bodies.rate
	load.AnswerWait = h.answerPacer.queueDelay(time.Now())
	return load
}

// Run runs a request or refuses it. Its errors are *verdict.Error.
func (h *LastHop) Run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	if refusal := h.check(r); refusal != nil {
		h.logRefusal(r, refusal)
		return nil, refusal
	}
	admissionRequest := admission.Request{
		Class: r.Route, Priority: r.Rank, Deadline: r.Deadline, Objective: r.Objective, AllowDelay: r.Settle,
		HasPriorWork: r.Invested, Hedge: r.Spare,
	}
	if size := h.answerSizes.estimate(r.Route); size >= contract.LargeAnswer {
		// The way back takes as long as what answerDelay before the answer, and itself.
		answerDelay := h.answerPacer.queueDelay(time.Now()) + h.answerPacer.transferTime(size)
		admissionRequest.Objective, admissionRequest.Deadline = r.Objective.Add(-answerDelay), r.Deadline.Add(-answerDelay)
	}
	bodyPending := !r.BodyHeld && r.ContentLength > 0
	if bodyPending {
		bodyDelay := h.bodies.queueDelay() + h.bodies.transferTime(r.ContentLength)
		if refusal := h.gate.Precheck(admissionRequest, bodyDelay); refusal != nil {
			h.logRefusal(r, refusal)
			return nil, refusal
		}
	}
	release, err := h.bodies.receive(ctx, r)
	if err != nil {
		return nil, err
	}
	defer release()
	if bodyPending && r.BodyHeld {
		admissionRequest.HasPriorWork = true // another gate would need the body again
	}
	permit, err := h.gate.Admit(ctx, admissionRequest)
	if err != nil {
		h.logRefusal(r, verdict.Of(err))
		return nil, err
	}
	// The wait may have outlasted what the first check saw.
	if refusal := h.check(r); refusal != nil {
		permit.Release()
		h.logRefusal(r, refusal)
		return nil, refusal
	}
	return h.send(ctx, r, permit)
}

func (h *LastHop) logRefusal(r *contract.Request, e *verdict.Error) {
	load := h.gate.Load()
	h.logger.Info().Str("part", "gate").Str("request", r.ID).Str("route", r.Route).Str("server", r.Server).
		Str("reason", e.Reason.String()).Str("wants", admissionMode(r)).Str("state", load.State.String()).Int("running", load.Running).
		Int("queued", load.Queued).Int("slots", load.Limit).Dur("service", load.Service).
		Uint64("revision", h.view().Revision).Dur("retry_after", e.RetryAfter).Msg("refused")
}

// admissionMode says for the log how long a request may wait for a slot.
func admissionMode(r *contract.Request) string {
	switch {
	case r.Spare:
		return "spare room"
	case r.Invested:
		return "any time of its slack"
	case r.Settle:
		return "a place to wait"
	default:
		return "a prompt start"
	}
}

// check returns why the server must not get a request, whatever its load.
func (h *LastHop) check(r *contract.Request) *verdict.Error {
	// Proof for each refusal: nothing was handed to the server yet.
	if r.Service != h.service {
		return verdict.Refuse(verdict.ReasonLacksResource, shortRetryAfter)
	}
	if h.crashes.quarantined(r.Fingerprint, time.Now()) {
		return verdict.Refuse(verdict.ReasonQuarantined, 0)
	}
	view := h.view()
	id := mesh.ServerID(r.Server)
	if _, listed := view.Servers[id]; !listed && view.Revision < r.HostListRevision {
		return nil // the entry has heard of a newer server
	}
	if !view.IsUsable(id) {
		return verdict.Refuse(verdict.ReasonLeaving, shortRetryAfter)
	}
	if h.wasReplaced(view.Servers[id]) {
		return verdict.Refuse(verdict.ReasonLacksResource, shortRetryAfter)
	}
	return nil
}

// wasReplaced reports whether another server answered at the address after a
// listing was first heard of.
func (h *LastHop) wasReplaced(l *catalog.Listing) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.respondingServer != "" && h.respondingServer != l.ID && h.respondedAt.After(l.FirstSeen)
}

// recordResponder notes which server answers at the address. It reports whether it is
// another one than before.
func (h *LastHop) recordResponder(id mesh.ServerID) (changed bool) {
	if id == "" {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.respondingServer != "" && h.respondingServer != id
	h.respondingServer, h.respondedAt = id, time.Now()
	return changed
}

// markHandedOver notes that a request goes to the server, unless it was barred.
func (h *LastHop) markHandedOver(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if handed, known := h.handedOverByID.Get(id); known && !handed {
		return false
	}
	h.handedOverByID.Add(id, true)
	return true
}

// Fence keeps a request from ever being handed to the server. It reports whether
// it had been before.
func (h *LastHop) Fence(id string) (handedOver bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if handed, known := h.handedOverByID.Get(id); known {
		return handed
	}
	h.handedOverByID.Add(id, false)
	return false
}

func (h *LastHop) send(ctx context.Context, r *contract.Request, permit *admission.Permit) (*contract.Answer, error) {
	if !h.markHandedOver(r.ID) {
		permit.Release()
		return nil, verdict.Refuse(verdict.ReasonFenced, shortRetryAfter)
	}
	h.runs.begin(r.ID, &run{isRetry: r.Attempt > 0})
	answer, err := h.client.Do(ctx, serverconn.Request{Request: r, ServerRequest: protocol.ServerRequest{
		ID: r.ID, Origin: r.Origin, Server: mesh.ServerID(r.Server), TimeRemaining: r.Remaining(time.Now()) - answerTransitReserve,
	}})
	h.runs.end(r.ID)
	if err != nil {
		return nil, h.handleFailure(r, permit, verdict.Of(err))
	}
	h.crashes.recordSuccess(r.Fingerprint)
	return h.handleAnswer(ctx, r, permit, answer)
}

// handleFailure ends a request without an answer.
func (h *LastHop) handleFailure(r *contract.Request, permit *admission.Permit, e *verdict.Error) error {
	switch {
	case e.Reason == verdict.ReasonCanceled || e.Reason == verdict.ReasonDeadline:
		permit.Abandon()
	case e.Verdict == verdict.NotRun:
		permit.Release()
		if e.Reason == verdict.ReasonUnreachable {
			h.prober.holdAndProbe(true)
		}
	default:
		permit.Done(true)
		h.crashes.reportCrash(r.Fingerprint, time.Now())
		h.prober.holdAndProbe(false)
	}
	h.logger.Info().Str("part", "gate").Str("request", r.ID).Str("server", r.Server).Str("route", r.Route).
		Str("verdict", e.Verdict.String()).Str("reason", e.Reason.String()).AnErr("cause", e.Cause).Msg("no answer from the server")
	return e
}

// handleAnswer passes an answer on, or turns the server's own refusal into a
// verdict so that another server may be tried.
func (h *LastHop) handleAnswer(ctx context.Context, r *contract.Request, permit *admission.Permit, a *serverconn.Answer) (*contract.Answer, error) {
	if a.ServerResponse.NotExecuted {
		// Proof: the server itself says that it did not run the request.
		_ = a.Body.Close() // nothing of it is passed on
		if a.ServerResponse.WrongServer {
			permit.Release()
			if h.recordResponder(a.ServerResponse.Server) {
				h.prober.holdAndProbe(false)
			}
		} else {
			permit.Done(true)
		}
		h.logger.Info().Str("part", "gate").Str("request", r.ID).Str("server", r.Server).Int("status", a.Status).
			Str("answered_by", string(a.ServerResponse.Server)).Msg("the server did not run it")
		reason := verdict.ReasonServerRefused
		if a.ServerResponse.WrongServer {
			reason = verdict.ReasonLacksResource
		}
		return nil, verdict.Refuse(reason, shortRetryAfter)
	}
	failed := a.Status >= http.StatusInternalServerError
	if a.Buffered {
		permit.Done(failed)
	} else {
		a.Body = &permitBody{ReadCloser: a.Body, permit: permit, failed: failed}
	}
	if !failed && a.ContentLength >= 0 {
		h.answerSizes.observe(r.Route, a.ContentLength)
	}
	if a.ContentLength >= contract.LargeAnswer {
		wait := h.answerPacer.reserve(a.ContentLength, time.Now())
		a.Body = &pacedBody{ReadCloser: a.Body, ctx: ctx, delay: wait}
	}
	a.Load = h.Load()
	return &a.Answer, nil
}

// permitBody gives the permit back once the answer was read or closed.
type permitBody struct {
	io.ReadCloser
	permit *admission.Permit
	failed bool
}

// Read ends the permit with the answer.
func (b *permitBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.permit.Done(b.failed || !errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the permit of an answer that is not read to its end.
func (b *permitBody) Close() error {
	b.permit.Abandon()
	return b.ReadCloser.Close()
}

// SetStopping refuses all new work from now on: this process is about to end.
func (h *LastHop) SetStopping() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.gate.SetClosed(true)
}

// Update follows a new view of the mesh.
func (h *LastHop) Update(v *catalog.View) {
	if v.Config == nil {
		return
	}
	service := v.Config.Services[h.service]
	listing := v.ServerAt(h.address)
	h.mu.Lock()
	defer h.mu.Unlock()
	if service.MaxConnections > 0 {
		h.client.SetMaxConnections(service.MaxConnections)
	}
	if listing == nil {
		h.gate.SetLimits(0, h.coldLimit.requestsPerSecond(service.ColdRate))
		h.gate.SetClosed(h.stopping || h.lastListing != nil)
		h.prober.startOnce()
		return
	}
	h.gate.SetLimits(listing.Slots, h.coldLimit.requestsPerSecond(service.ColdRate))
	h.gate.ExtendCold(listing.ColdUntil)
	evacuated := v.Evacuated[listing.DataCentre]
	h.gate.SetClosed(h.stopping || evacuated || listing.State != mesh.ServerReady)
	restarted := h.lastListing != nil && !h.lastListing.SameIncarnation(listing.Server)
	if restarted || h.evacuated && !evacuated {
		// A new process is cold, and so may be one that was taken out.
		h.prober.holdAndProbe(false)
	}
	h.lastListing, h.evacuated = listing, evacuated
	h.prober.startOnce()
}
