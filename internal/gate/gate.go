// Package gate decides which requests one backend server runs, and when.
//
// The gate runs beside its server and sees every request for it. It keeps its state in
// memory and does no I/O. It starts at the cold limit and raises its limit only on
// successful answers to real requests. Requests beyond the limit wait for a short time,
// by priority and fairly between callers. A request that the gate does not admit is
// refused with the verdict NotRun, at once where the gate can tell: a request reaches the
// server only with a Permit.
package gate

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	logger *log.Logger
	load   packedLoad
	// downSince is when the server was last found down; downFor is Config.DownFor.
	downSince atomic.Pointer[time.Time]
	downFor   time.Duration

	mu         sync.Mutex
	cfg        Config
	limiter    *limiter
	queue      queue
	accounts   *accounts
	quarantine *quarantine
	isolation  isolation
	crashes    chan struct{}
	running    runningList
	occupancy  meanTime
	leaving    bool
	// sequence counts admissions.
	sequence uint64
	// saturatedSequence is the sequence of the latest admission that took the last free
	// slot, and saturatedLimit the limiter's limit at that admission.
	saturatedSequence uint64
	saturatedLimit    int
	// crashedAt is when the latest crash of the server was noticed.
	crashedAt time.Time
	// lastEnded is when the last request ended.
	lastEnded time.Time
	// drained is closed when no request runs or waits; nil if no Drain call is waiting.
	drained chan struct{}
	// wakeTimer advances the isolation when no other event does.
	wakeTimer *time.Timer
	// loggedEpoch and loggedWarm are the state at the last log line.
	loggedEpoch uint64
	loggedWarm  bool
}

// New returns a gate at the cold limit. A nil logger discards all messages.
func New(cfg Config, logger *log.Logger) *Gate {
	cfg = cfg.withDefaults()
	if logger == nil {
		logger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	}
	now := time.Now()
	g := &Gate{
		logger:     logger,
		cfg:        cfg,
		limiter:    newLimiter(cfg),
		accounts:   newAccounts(cfg.MaxCallers, cfg.ShareHalfLife, now),
		quarantine: newQuarantine(cfg),
		isolation:  isolation{cfg: cfg},
		crashes:    make(chan struct{}, 1),
		downFor:    cfg.DownFor,
	}
	g.downSince.Store(&time.Time{})
	g.publish(now)
	return g
}

// Admit waits for a slot and returns the permit to send the request. Its error is a
// *verdict.Error with the verdict NotRun and a Retry-After.
func (g *Gate) Admit(ctx context.Context, r Request) (*Permit, error) {
	now := time.Now()
	deadline := earlierDeadline(ctx, r.Deadline)
	g.mu.Lock()
	if err := g.precheck(ctx, r, deadline, now); err != nil {
		g.unlock(now)
		return nil, err
	}
	g.startIdleProbation(now)
	acc := g.accounts.getOrCreate(r.Caller, r.Weight, now)
	suspect := g.quarantine.isSuspect(r.Fingerprint, now)
	if !suspect && g.queue.total == 0 && g.hasCapacity(now) && g.mayStart(acc, now) {
		p := g.start(r, acc, now)
		g.unlock(now)
		return p, nil
	}
	w := &waiter{
		request: r, rank: rankOf(r.Priority), account: acc, enqueuedAt: now,
		deadline: deadline, suspect: suspect, result: make(chan result, 1), maxWait: g.maxWait(suspect),
	}
	g.enqueue(w, now)
	g.dispatch(now)
	g.refuseLate(w, now)
	g.evictExcess(now)
	g.unlock(now)
	return g.awaitResult(ctx, w)
}

// SetService applies new settings of the service.
func (g *Gate) SetService(s config.Service) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	g.cfg.Service = serviceDefaults(s)
	g.limiter.setService(g.cfg.Service)
	g.isolation.cfg.Service = g.cfg.Service
	g.dispatch(now)
}

// SetLeaving makes the gate refuse waiting and new requests, or accept requests again
// from the cold limit. Running requests continue.
func (g *Gate) SetLeaving(leaving bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	if g.leaving == leaving {
		return
	}
	g.leaving = leaving
	if leaving {
		g.refuseWaiting(now)
		return
	}
	g.limiter.turnCold(causeReturned)
}

// Hint applies a report of the server's health and load endpoints.
func (g *Gate) Hint(h Hint) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	g.limiter.applyHint(h, now)
}

// ProcessPaused reports that the gate's process did not run for a time. The server may
// have restarted meanwhile, so it is held at the cold limit until a few successful
// answers show that it is the same process.
func (g *Gate) ProcessPaused(pause time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	if pause >= g.cfg.PauseAfter {
		g.limiter.startProbation(causePaused)
	}
}

// Load returns the server's current load, without taking a lock. A down server is
// reported as cold again after Config.DownFor, so that a request is sent to test it.
func (g *Gate) Load() Load {
	l := g.load.load()
	if l.State == host.StateDown && time.Since(*g.downSince.Load()) >= g.downFor {
		l.State = host.StateCold
	}
	return l
}

// Drain waits until no request runs or waits. If ctx ends first it returns ErrNotDrained.
// Drain refuses no requests; SetLeaving does.
func (g *Gate) Drain(ctx context.Context) error {
	now := time.Now()
	g.mu.Lock()
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	drained := g.drained
	g.unlock(now)
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ErrNotDrained, "drain stopped: %v; %d requests running", ctx.Err(), g.Load().Running)
	}
}

// Quarantined returns the fingerprints that this gate itself has quarantined, for the
// other gates of the service.
func (g *Gate) Quarantined() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.localFingerprints(time.Now())
}

// AddQuarantined adds a fingerprint that another gate of the service has quarantined.
func (g *Gate) AddQuarantined(fp uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.recordRemote(fp, now)
}

// Crashes signals after each crash of the server, so that the suspects can be shared with
// the other gates of the service before a caller retries them there.
func (g *Gate) Crashes() <-chan struct{} {
	return g.crashes
}

// Suspects returns the fingerprints that were on the server when it crashed and have not
// completed since.
func (g *Gate) Suspects() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.suspectFingerprints(time.Now())
}

// AddSuspect adds a fingerprint that was on another server of the service when that
// server crashed. The request then runs under isolation here.
func (g *Gate) AddSuspect(fp uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quarantine.quarantinedFor(fp, now) == 0 {
		g.quarantine.recordReported(fp, 1, now)
	}
}

// unlock publishes the load, releases the mutex and then logs changes of state.
func (g *Gate) unlock(now time.Time) {
	g.publish(now)
	if g.drained != nil && g.running.count+g.waiting() == 0 {
		close(g.drained)
		g.drained = nil
	}
	l := g.limiter
	epochChanged, warmed := l.epoch != g.loggedEpoch, l.warm && !g.loggedWarm
	onProbation, cause := l.probation > 0, l.cause
	g.loggedEpoch, g.loggedWarm = l.epoch, l.warm
	g.mu.Unlock()
	if epochChanged || warmed {
		g.logTransition(warmed, onProbation, cause)
	}
}

func (g *Gate) logTransition(warmed, onProbation bool, cause string) {
	switch {
	case warmed:
		g.logger.Info().Str("part", "gate").Msg("server is warm")
	case onProbation:
		g.logger.Debug().Str("part", "gate").Str("cause", cause).Msg("server on probation at the cold limit")
	default:
		g.logger.Info().Str("part", "gate").Str("cause", cause).Msg("back to the cold limit")
	}
}

func (g *Gate) publish(now time.Time) {
	state := g.limiter.state()
	if state == host.StateDown && !g.limiter.downAt.Equal(*g.downSince.Load()) {
		at := g.limiter.downAt // only this copy escapes to the heap
		g.downSince.Store(&at)
	}
	if g.leaving {
		state = host.StateLeaving
	}
	g.load.store(Load{
		Running: g.running.count,
		Queued:  g.waiting(),
		Limit:   g.limiter.current(now),
		State:   state,
	})
}

func (g *Gate) waiting() int {
	return g.queue.total + len(g.isolation.waiting)
}

// earlierDeadline returns the earlier of the context's and the request's deadline.
func earlierDeadline(ctx context.Context, deadline time.Time) time.Time {
	fromContext, ok := ctx.Deadline()
	if ok && (deadline.IsZero() || fromContext.Before(deadline)) {
		return fromContext
	}
	return deadline
}
