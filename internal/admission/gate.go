package admission

import (
	"context"
	"sync"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// Gate puts a Machine to work. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	machine   *Machine
	wakeTimer *time.Timer
}

// NewGate returns a gate that holds all work until Proved is called.
func NewGate(slots int, maxColdRate float64) *Gate {
	return &Gate{machine: NewMachine(slots, maxColdRate)}
}

// Permit allows one send to the server.
type Permit struct {
	gate   *Gate
	ticket *Ticket
	once   sync.Once
}

// Precheck refuses a request that would be refused if it came delay a time. It
// takes nothing in.
func (g *Gate) Precheck(r Request, delay time.Duration) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Precheck(r, delay, time.Now())
}

// Admit waits until the request may start. Its error is a *verdict.Error that
// says NotRun.
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
	// Proof: the ticket was taken out before it was started.
	return nil, verdict.New(verdict.NotRun, verdict.ReasonCanceled, ctx.Err())
}

func (g *Gate) permit(t *Ticket, refusal *verdict.Error) (*Permit, error) {
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{gate: g, ticket: t}, nil
}

// Done ends the permit after the server's answer. failed reports that the
// answer is a failure of the server's.
func (p *Permit) Done(failed bool) {
	p.end(func(m *Machine, elapsed time.Duration) { m.Done(p.ticket, elapsed, failed) })
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

// Hold keeps new work back until Proved is called.
func (g *Gate) Hold() {
	g.update(func(m *Machine, _ time.Time) { m.Hold() })
}

// MarkDown notes that the server takes no connections.
func (g *Gate) MarkDown() {
	g.update(func(m *Machine, _ time.Time) { m.MarkDown() })
}

// MarkUp notes that the server was heard of, and for how long it is cold.
func (g *Gate) MarkUp(coldFor time.Duration) {
	g.update(func(m *Machine, now time.Time) { m.MarkUp(coldFor, now) })
}

// ExtendCold notes a later word about how long the server is cold.
func (g *Gate) ExtendCold(at time.Time) {
	g.update(func(m *Machine, _ time.Time) { m.ExtendCold(at) })
}

// SetLimits takes in the server's slots and the number of requests that it may get in
// any second while it is cold.
func (g *Gate) SetLimits(slots int, maxColdRate float64) {
	g.update(func(m *Machine, _ time.Time) { m.SetLimits(slots, maxColdRate) })
}

// SetClosed stops new work, or permits it again.
func (g *Gate) SetClosed(closed bool) {
	g.update(func(m *Machine, _ time.Time) { m.SetClosed(closed) })
}

func (g *Gate) update(fn func(m *Machine, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(g.machine, time.Now())
	g.dispatch()
}

// dispatch moves the machine on and arranges its dispatch move.
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

// Load returns how busy the server is.
func (g *Gate) Load() contract.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, now := g.machine, time.Now()
	load := contract.Load{
		Running: m.running, Queued: len(m.waiting), Limit: m.slots, State: host.StateWarm,
		Service: m.serviceTime.duration(), Failing: m.failureRate.value,
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
