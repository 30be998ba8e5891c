package admission

import (
	"context"
	"sync"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// Gate drives a Machine with the clock, timers and waiting goroutines. It is safe for
// concurrent use.
type Gate struct {
	mu        sync.Mutex
	machine   *Machine
	wakeTimer *time.Timer
}

// NewGate returns a gate that holds all requests until MarkUp is called.
func NewGate(slots int, maxColdRate float64) *Gate {
	return &Gate{machine: NewMachine(slots, maxColdRate)}
}

// Permit allows one send to the server.
type Permit struct {
	gate   *Gate
	ticket *Ticket
	once   sync.Once
}

// Precheck returns the refusal that a request would get if it arrived after delay, or
// nil. It does not enqueue the request.
func (g *Gate) Precheck(r Request, delay time.Duration) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Precheck(r, delay, time.Now())
}

// Admit waits until the request may start. Its error is a *verdict.Error with the verdict
// NotRun.
func (g *Gate) Admit(ctx context.Context, r Request) (*Permit, error) {
	g.mu.Lock()
	t, refusal := g.machine.Enqueue(r, time.Now())
	if refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	g.dispatch()
	g.mu.Unlock()
	select {
	case refusal := <-t.decision:
		return g.permit(t, refusal)
	case <-ctx.Done():
	}
	g.mu.Lock()
	withdrawn := g.machine.Withdraw(t)
	g.mu.Unlock()
	if !withdrawn {
		return g.permit(t, <-t.decision)
	}
	// Proof: the ticket was removed from the queue before it was started.
	return nil, verdict.New(verdict.NotRun, verdict.ReasonCanceled, ctx.Err())
}

func (g *Gate) permit(t *Ticket, refusal *verdict.Error) (*Permit, error) {
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{gate: g, ticket: t}, nil
}

// Done ends the permit after the server's answer. failed reports that the answer is a
// server failure.
func (p *Permit) Done(failed bool) {
	p.end(func(m *Machine, elapsed time.Duration) { m.Done(p.ticket, elapsed, failed) })
}

// Observe records what the answer showed about the run, before the permit ends.
func (p *Permit) Observe(o Observation) {
	p.ticket.observation = o
}

// Abandon ends the permit of a request that was given up.
func (p *Permit) Abandon() {
	p.end(func(m *Machine, elapsed time.Duration) { m.Abandon(p.ticket, elapsed) })
}

// Release ends the permit of a request that was not sent.
func (p *Permit) Release() {
	p.end(func(m *Machine, _ time.Duration) { m.Release() })
}

func (p *Permit) end(finish func(m *Machine, elapsed time.Duration)) {
	p.once.Do(func() {
		elapsed := time.Since(p.ticket.startedAt)
		p.gate.update(func(m *Machine, _ time.Time) { finish(m, elapsed) })
	})
}

// Hold keeps new requests from starting until MarkUp is called.
func (g *Gate) Hold() {
	g.update(func(m *Machine, _ time.Time) { m.Hold() })
}

// MarkDown records that the server accepts no connections.
func (g *Gate) MarkDown() {
	g.update(func(m *Machine, _ time.Time) { m.MarkDown() })
}

// MarkUp records that the server is up, and for how long it will be cold.
func (g *Gate) MarkUp(coldFor time.Duration) {
	g.update(func(m *Machine, now time.Time) { m.MarkUp(coldFor, now) })
}

// ExtendCold moves the end of the cold period to a later time.
func (g *Gate) ExtendCold(at time.Time) {
	g.update(func(m *Machine, _ time.Time) { m.ExtendCold(at) })
}

// SetLimits sets the server's slots and the number of requests that it may get in any
// second while it is cold.
func (g *Gate) SetLimits(slots int, maxColdRate float64) {
	g.update(func(m *Machine, _ time.Time) { m.SetLimits(slots, maxColdRate) })
}

// SetRateLimit sets the request limit that the server states.
func (g *Gate) SetRateLimit(limit contract.RateLimit) {
	g.update(func(m *Machine, now time.Time) { m.SetRateLimit(limit, now) })
}

// RecordHealthCheck counts a health check, which the server counts as a request.
func (g *Gate) RecordHealthCheck() {
	g.update(func(m *Machine, now time.Time) { m.RecordHealthCheck(now) })
}

// RecordStated records the slowdown in percent that the server stated.
func (g *Gate) RecordStated(percent int) {
	g.update(func(m *Machine, now time.Time) { m.RecordStated(percent, now) })
}

// ResetSpeed forgets the server's speed, because another process is in its place.
func (g *Gate) ResetSpeed() {
	g.update(func(m *Machine, _ time.Time) { m.speed.Reset() })
}

// GrantStart permits one request beyond the server's limit.
func (g *Gate) GrantStart() {
	g.update(func(m *Machine, now time.Time) { m.GrantStart(now) })
}

// SetClosed refuses new requests, or admits them again.
func (g *Gate) SetClosed(closed bool) {
	g.update(func(m *Machine, _ time.Time) { m.SetClosed(closed) })
}

func (g *Gate) update(fn func(m *Machine, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(g.machine, time.Now())
	g.dispatch()
}

// dispatch runs the machine's next step and schedules the one after it.
func (g *Gate) dispatch() {
	at := g.machine.Dispatch(time.Now())
	if at.IsZero() {
		return
	}
	wait := max(time.Until(at), 0)
	if g.wakeTimer == nil {
		g.wakeTimer = time.AfterFunc(wait, func() { g.update(func(*Machine, time.Time) {}) })
		return
	}
	g.wakeTimer.Reset(wait)
}

// Cold reports whether the server is known to be cold.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.cold(time.Now())
}

// ExpectedServiceTime returns the time that a request of a class takes if it starts now; 0
// if it is not known.
func (g *Gate) ExpectedServiceTime(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.expectedServiceTime(class, time.Now())
}

// Speed describes the server's speed for metrics.
type Speed struct {
	// Factor is the present speed relative to the usual one, and StatedPercent the
	// slowdown that the server states; 0 while it states none.
	Factor        float64
	StatedPercent int
	// Concurrency is the number of requests that run at once at most.
	Concurrency int
}

// Speed returns the server's estimated speed.
func (g *Gate) Speed() Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, now := g.machine.speed, time.Now()
	return Speed{Factor: e.Speed(now), StatedPercent: e.Stated(now), Concurrency: e.Concurrency()}
}

// Overloaded reports whether requests have been waiting for so much of recent time that a
// wasted run takes the slot of another request.
func (g *Gate) Overloaded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.overloaded(time.Now())
}

// Load returns the server's current load.
func (g *Gate) Load() contract.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, now := g.machine, time.Now()
	load := contract.Load{
		Running: m.running, Queued: len(m.waiting), Limit: m.slots, State: host.StateWarm,
		ServiceTime: m.speed.MeanUsualTime(), FailureRate: m.failureRate.value,
		Slowdown: m.slowdownPercent(now), Concurrency: m.limitedConcurrency(),
		RateLimit: m.limiter.limit, StartWait: m.limiter.wait(Request{}, len(m.waiting), now),
	}
	switch {
	case m.closed:
		load.State = host.StateLeaving
	case m.down:
		load.State = host.StateDown
	case m.held || m.cold(now):
		load.State = host.StateCold
	}
	return load
}
