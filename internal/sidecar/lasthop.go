package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/phuslu/log"

	"boragefall/internal/admission"
	"boragefall/internal/callbudget"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/verdict"
)

const (
	// answerTransitReserve is deducted from the server's time limit, for the transit of
	// its answer back to the caller.
	answerTransitReserve = 5 * time.Millisecond
	// maxTrackedIDs bounds the IDs recorded as handed over or fenced; it covers several
	// seconds of a fully loaded server.
	maxTrackedIDs = 4096
	// shortRetryAfter is the retry delay after refusals that another server may not
	// repeat.
	shortRetryAfter = 50 * time.Millisecond
)

// backend is the client of the server beside this node.
type backend interface {
	// Do runs a request on the server. Its errors are *verdict.Error.
	Do(ctx context.Context, r serverconn.Request) (*serverconn.Answer, error)
	// CloseIdle closes the connections that carry no request.
	CloseIdle()
	// SetMaxConnections bounds the connections to the server.
	SetMaxConnections(n int)
}

// LastHop runs requests on the backend server beside this node, or refuses them. It
// alone decides on admission; an entry's view of the server is only a hint.
type LastHop struct {
	address string
	service string
	view    func() *catalog.View
	gate    *admission.Gate
	client  backend
	prober  *prober
	crashes *crashTracker
	bodies  *bodyReceiver
	// answers reserves capacity of the outbound link for large answers.
	answers      *answerBudget
	coldLimit    ColdStartLimit
	markLeaving  func(*mesh.Server)
	drain        *drainEnd
	staleCopy    func(now time.Time) bool
	onFirstProbe func()
	logger       *log.Logger
	// coldChecks decides when the server is asked whether it is cold.
	coldChecks coldChecks
	// runs are the requests that the server is running.
	runs activeRuns
	// callBudget limits the runs whose calls are being refused.
	callBudget *callbudget.Budget
	// loggedConcurrency is the limited concurrency that was logged last.
	loggedConcurrency atomic.Int64
	// handedOver counts the requests that were sent to the server.
	handedOver atomic.Uint64
	// coldTimesCut counts the health checks in which the server stated a cold time out of
	// bounds.
	coldTimesCut atomic.Uint64

	mu sync.Mutex
	// limit is the request limit that the server states.
	limit            limitTracker
	recheckScheduled bool
	// handedOverByID holds the IDs that were handed over (true) or fenced (false).
	handedOverByID *lru.Cache[string, bool]
	// lastListing is the server's latest listing; nil before the first one.
	lastListing *catalog.Listing
	// respondingServer is the ID that the server reported with its latest answer, and
	// respondedAt the time of that answer; both are zero before the first one.
	respondingServer mesh.ServerID
	respondedAt      time.Time
	// evacuated reports whether the last view had the server's data centre evacuated.
	evacuated bool
	stopping  bool
}

// LastHopConfig holds the dependencies of a LastHop. All fields except those of the link
// are required.
type LastHopConfig struct {
	// Address is the backend server's address, IP:port.
	Address string
	// Service is the service of the backend server.
	Service string
	View    func() *catalog.View
	Client  backend
	Crashes *crashTracker
	Bodies  *bodyReceiver
	// LinkMbps is the rate of the host's link in Mbit/s; 0 means that it is not known.
	LinkMbps float64
	// LinkBacklog returns the bytes that were written to links and not delivered yet; nil if
	// that is not known.
	LinkBacklog func() int64
	ColdLimit   ColdStartLimit
	// LimitRuns reports that runs may be refused while calls of such runs are refused.
	LimitRuns bool
	// MarkLeaving records that a server stated that it leaves.
	MarkLeaving func(*mesh.Server)
	// Drain holds the time until which this node delivers answers while it is stopping.
	Drain *drainEnd
	// StaleCopy reports whether the view may lack recent changes of the store.
	StaleCopy func(now time.Time) bool
	// OnFirstProbe runs in a goroutine of its own at the first health check, when the view
	// lists the nodes of the service.
	OnFirstProbe func()
	Logger       *log.Logger
}

// ColdStartLimit bounds the requests that a server receives in any second while it is
// cold.
type ColdStartLimit struct {
	// Overshoot is the permitted multiple of the rate that the server sustains when
	// cold.
	Overshoot float64
	// Slack is the number of requests permitted in addition.
	Slack float64
}

// requestsPerSecond returns the limit for a server's cold rate; 0 if the rate is
// unknown.
func (b ColdStartLimit) requestsPerSecond(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate*b.Overshoot + b.Slack
}

// NewLastHop returns a LastHop that holds all requests until the first health check of a
// reachable server has ended.
func NewLastHop(cfg LastHopConfig) (*LastHop, error) {
	handedOverByID, err := lru.New[string, bool](maxTrackedIDs)
	if err != nil {
		return nil, err
	}
	h := &LastHop{
		address: cfg.Address, service: cfg.Service, view: cfg.View, client: cfg.Client,
		crashes: cfg.Crashes, bodies: cfg.Bodies, coldLimit: cfg.ColdLimit, markLeaving: cfg.MarkLeaving, drain: cfg.Drain, staleCopy: cfg.StaleCopy, onFirstProbe: cfg.OnFirstProbe, logger: cfg.Logger, handedOverByID: handedOverByID,
		gate: admission.NewGate(1, 0), answers: newAnswerBudget(cfg.LinkMbps, cfg.LinkBacklog, cfg.Logger),
		callBudget: callbudget.New(cfg.LimitRuns),
	}
	h.prober = &prober{hop: h}
	return h, nil
}

// Load returns the server's current load.
func (h *LastHop) Load() contract.Load {
	load := h.gate.Load()
	load.BodyQueueDelay, load.BodyRate = h.bodies.queueDelay(), h.bodies.rate
	h.answers.report(&load)
	return load
}

// Run runs a request or refuses it. Its errors are *verdict.Error.
func (h *LastHop) Run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	if refusal := h.check(r); refusal != nil {
		h.logRefusal(r, refusal)
		return nil, refusal
	}
	admissionRequest := admission.Request{
		Class: r.Route, Priority: r.Rank, Deadline: r.Deadline, Objective: r.Objective, AllowDelay: r.AllowDelay,
		HasPriorWork: r.HasPriorWork, Hedge: r.Hedge, Nested: r.Nested,
	}
	reservation, refusal := h.answers.reserve(r, h.gate.ExpectedServiceTime(r.Route))
	if refusal != nil {
		h.answers.logRefusal(h.logger, r, refusal)
		return nil, refusal
	}
	defer reservation.release()
	admissionRequest.Objective, admissionRequest.Deadline = r.Objective.Add(-reservation.transferTime), r.Deadline.Add(-reservation.transferTime)
	bodyPending := !r.BodyBuffered && r.ContentLength > 0
	if bodyPending {
		bodyDelay := h.bodies.queueDelay() + h.bodies.transferTime(r.ContentLength)
		if refusal := h.gate.Precheck(admissionRequest, bodyDelay); refusal != nil {
			h.logRefusal(r, refusal)
			return nil, refusal
		}
	}
	budgeted, refusal := h.startBudgeted(r)
	if refusal != nil {
		h.logRefusal(r, refusal)
		return nil, refusal
	}
	release, err := h.bodies.receive(ctx, r)
	if err != nil {
		budgeted.Withdraw(time.Now())
		return nil, err
	}
	defer release()
	if bodyPending && r.BodyBuffered {
		admissionRequest.HasPriorWork = true // the body would have to be sent again to another gate
	}
	h.adoptLimit(r.RateLimit)
	permit, err := h.gate.Admit(ctx, admissionRequest)
	if err != nil {
		budgeted.Withdraw(time.Now())
		h.logRefusal(r, verdict.FromError(err))
		return nil, err
	}
	// While the request was queued, the result of the first check may have changed.
	if refusal := h.check(r); refusal != nil {
		permit.Release()
		budgeted.Withdraw(time.Now())
		h.logRefusal(r, refusal)
		return nil, refusal
	}
	return h.send(ctx, r, permit, reservation, budgeted)
}

func (h *LastHop) logRefusal(r *contract.Request, e *verdict.Error) {
	load := h.gate.Load()
	h.logger.Info().Str("part", "gate").Str("request", r.ID).Str("route", r.Route).Str("server", r.Server).
		Str("reason", e.Reason.String()).Str("wants", admissionMode(r)).Str("state", load.State.String()).Int("running", load.Running).
		Int("queued", load.Queued).Int("slots", load.Limit).Dur("service", load.ServiceTime).
		Int("slowdown", load.Slowdown).Int("concurrency", load.Concurrency).
		Uint64("era", h.view().Version.Era).Uint64("revision", h.view().Version.Revision).AnErr("cause", e.Cause).Dur("retry_after", e.RetryAfter).Msg("refused")
}

// admissionMode describes for the log how long a request may wait for a slot.
func admissionMode(r *contract.Request) string {
	switch {
	case r.Hedge:
		return "spare room"
	case r.Nested && r.AllowDelay:
		return "any time until its deadline"
	case r.HasPriorWork:
		return "any time of its slack"
	case r.AllowDelay:
		return "a place to wait"
	default:
		return "a prompt start"
	}
}

// check returns why the server must not receive a request, regardless of its load.
func (h *LastHop) check(r *contract.Request) *verdict.Error {
	// Proof, for each of these refusals: nothing was handed to the server yet.
	if r.Service != h.service {
		return verdict.Refuse(verdict.ReasonLacksResource, shortRetryAfter)
	}
	now := time.Now()
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, nil)
	}
	if h.crashes.quarantined(r.Fingerprint, now) {
		return verdict.Refuse(verdict.ReasonQuarantined, 0)
	}
	if !h.drain.permits(now, h.gate.ExpectedServiceTime(r.Route)) {
		return verdict.Refuse(verdict.ReasonLeaving, shortRetryAfter)
	}
	view := h.view()
	id := mesh.ServerID(r.Server)
	listed := catalog.Version{Era: r.HostListEra, Revision: r.HostListRevision}
	if _, known := view.Servers[id]; !known && listed.IsNewerThan(view.Version) {
		return nil // the entry's view is newer and may list the server
	}
	if !view.IsUsable(id) {
		return verdict.Refuse(verdict.ReasonLeaving, shortRetryAfter)
	}
	if h.wasReplaced(view.Servers[id]) {
		return verdict.Refuse(verdict.ReasonLacksResource, shortRetryAfter)
	}
	return nil
}

// wasReplaced reports whether a server other than l's answered at the address after l
// joined.
func (h *LastHop) wasReplaced(l *catalog.Listing) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.respondingServer != "" && h.respondingServer != l.ID && h.respondedAt.After(l.FirstSeen)
}

// recordResponder records which server answers at the address. It reports whether the
// server differs from the previous one.
func (h *LastHop) recordResponder(id mesh.ServerID) (changed bool) {
	if id == "" {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.respondingServer != "" && h.respondingServer != id
	if changed {
		h.gate.ResetSpeed()
	}
	h.respondingServer, h.respondedAt = id, time.Now()
	return changed
}

// markHandedOver records that a request is handed to the server. It returns false if
// the request is fenced.
func (h *LastHop) markHandedOver(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if handed, known := h.handedOverByID.Get(id); known && !handed {
		return false
	}
	h.handedOverByID.Add(id, true)
	return true
}

// Fence prevents a request from ever being handed to the server. It reports whether the
// request was already handed over.
func (h *LastHop) Fence(id string) (handedOver bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if handed, known := h.handedOverByID.Get(id); known {
		return handed
	}
	h.handedOverByID.Add(id, false)
	return false
}

func (h *LastHop) send(ctx context.Context, r *contract.Request, permit *admission.Permit, reservation *answerReservation, budgeted *callbudget.Run) (*contract.Answer, error) {
	if !h.markHandedOver(r.ID) {
		permit.Release()
		budgeted.Withdraw(time.Now())
		return nil, verdict.Refuse(verdict.ReasonFenced, shortRetryAfter)
	}
	started := &run{isRetry: r.Attempt > 0, rank: r.Rank, budget: budgeted}
	h.runs.begin(r.ID, started)
	h.handedOver.Add(1)
	h.checkColdIfStale(time.Now())
	sentAt, listing := time.Now(), h.view().Servers[mesh.ServerID(r.Server)]
	answer, err := h.client.Do(ctx, serverconn.Request{Request: r, ServerRequest: protocol.ServerRequest{
		ID: r.ID, Origin: r.Origin, Server: mesh.ServerID(r.Server), TimeRemaining: r.Remaining(time.Now()) - answerTransitReserve,
	}})
	h.runs.end(r.ID)
	endBudgeted(budgeted, answer, err)
	h.observeSpeed(permit, started, answer)
	if err != nil {
		return nil, h.handleFailure(r, permit, verdict.FromError(err), sentAt)
	}
	if !answer.ServerResponse.WrongServer {
		h.observeNotice(answer.ServerResponse, listing, sentAt)
	}
	h.observeRun(r, answer, sentAt)
	return h.handleAnswer(ctx, r, permit, reservation, answer, time.Since(sentAt))
}

// observeRun records what an answer shows about crashes of the server.
func (h *LastHop) observeRun(r *contract.Request, a *serverconn.Answer, sentAt time.Time) {
	responder := mesh.ServerID(r.Server) // any other server refuses the request
	if a.ServerResponse.WrongServer {
		responder = a.ServerResponse.Server
	}
	h.crashes.recordResponder(responder, sentAt)
	if !a.ServerResponse.NotExecuted {
		h.crashes.recordAnswered(r.Fingerprint)
	}
}

// handleFailure ends a request that was sent at sentAt and got no answer.
func (h *LastHop) handleFailure(r *contract.Request, permit *admission.Permit, e *verdict.Error, sentAt time.Time) error {
	switch {
	case e.Reason == verdict.ReasonCanceled || e.Reason == verdict.ReasonDeadline:
		permit.Abandon()
	case e.Verdict == verdict.NotRun:
		permit.Release()
		if e.Reason == verdict.ReasonUnreachable {
			h.crashes.recordUnreachable()
			h.prober.holdAndProbe(true)
		}
	default:
		permit.Done(true)
		h.crashes.recordBroken(brokenRun{
			fingerprint: r.Fingerprint, server: mesh.ServerID(r.Server), startedAt: sentAt, brokenAt: time.Now(),
		})
		h.prober.holdAndProbe(false)
	}
	h.logger.Info().Str("part", "gate").Str("request", r.ID).Str("server", r.Server).Str("route", r.Route).
		Str("verdict", e.Verdict.String()).Str("reason", e.Reason.String()).AnErr("cause", e.Cause).Msg("no answer from the server")
	return e
}

// handleAnswer forwards an answer. If the server refused the request itself, it returns
// a verdict instead, so that another server may be tried.
func (h *LastHop) handleAnswer(ctx context.Context, r *contract.Request, permit *admission.Permit, reservation *answerReservation, a *serverconn.Answer, took time.Duration) (*contract.Answer, error) {
	if a.ServerResponse.NotExecuted {
		// Proof: the server itself states that it did not run the request.
		_ = a.Body.Close() // the body is not forwarded
		if a.ServerResponse.WrongServer {
			permit.Release()
			if h.recordResponder(a.ServerResponse.Server) {
				h.prober.holdAndProbe(false)
			}
		} else {
			permit.Done(true)
		}
		h.logger.Info().Str("part", "gate").Str("request", r.ID).Str("server", r.Server).Int("status", a.Status).
			Str("answered_by", string(a.ServerResponse.Server)).Msg("the server did not run the request")
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
	if !failed {
		h.answers.observe(r, a, took)
	}
	a.Body = reservation.send(ctx, r, &a.Answer)
	a.Load = h.Load()
	h.logConcurrency(a.Load)
	return &a.Answer, nil
}

// permitBody releases the permit once the answer was read or closed.
type permitBody struct {
	io.ReadCloser
	permit *admission.Permit
	failed bool
}

// Read releases the permit at the end of the answer.
func (b *permitBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.permit.Done(b.failed || !errors.Is(err, io.EOF))
	}
	return n, err
}

// Close releases the permit of an answer that was not read to its end.
func (b *permitBody) Close() error {
	b.permit.Abandon()
	return b.ReadCloser.Close()
}

// SetStopping refuses all new requests from now on, because the process is stopping.
func (h *LastHop) SetStopping() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.gate.SetClosed(true)
}

// Update applies a new view of the mesh.
func (h *LastHop) Update(v *catalog.View) {
	if v.Config == nil {
		return
	}
	service := v.Config.Services[h.service]
	h.coldChecks.setRate(h.coldLimit.requestsPerSecond(service.ColdRate))
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
	h.gate.SetClosed(h.stopping || evacuated || !listing.AcceptsRequests())
	restarted := h.lastListing != nil && !h.lastListing.SameIncarnation(listing.Server)
	if restarted && h.limit.reset() {
		h.applyLimit("server was restarted")
	}
	if restarted {
		h.gate.ResetSpeed()
	}
	if restarted || h.evacuated && !evacuated {
		// A restarted process is cold, and a server of an evacuated data centre may be.
		h.prober.holdAndProbe(false)
	}
	h.lastListing, h.evacuated = listing, evacuated
	h.prober.startOnce()
}
