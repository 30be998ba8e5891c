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
	mu      sync.Mutex
	machine *Machine
	wake    *time.Timer
}

// NewGate returns a gate that holds all work until Proved is called.
func NewGate(slots int, coldBound float64) *Gate {
	return &Gate{machine: NewMachine(slots, coldBound)}
}

// Permit allows one send to the server.
type Permit struct {
	gate   *Gate
	ticket *Ticket
	once   sync.Once
}

// Foresee refuses a request that would be refused if it came after a time. It
// takes nothing in.
func (g *Gate) Foresee(r Request, after time.Duration) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Foresee(r, after, time.Now())
}

// Admit waits until the request may start. Its error is a *verdict.Error that
// says NotRun.
func (g *Gate) Admit(ctx context.Context, r Request) (*Permit, error) {
	g.mu.Lock()
	t, refusal := g.machine.Offer(r, time.Now())
	if refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	g.next()
	g.mu.Unlock()
	select {
	case refusal := <-t.decided:
		return g.permit(t, refusal)
	case <-ctx.Done():
	}
	g.mu.Lock()
	withdrawn := g.machine.Withdraw(t)
	g.mu.Unlock()
	if !withdrawn {
		return g.permit(t, <-t.decided)
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

// Served ends the permit after the server's answer. failed reports that the
// answer is a failure of the server's.
func (p *Permit) Served(failed bool) {
	p.end(func(m *Machine, took time.Duration) { m.Done(p.ticket, took, failed) })
}

// Outlasted ends the permit of a request that was given up.
func (p *Permit) Outlasted() {
	p.end(func(m *Machine, took time.Duration) { m.Outlasted(p.ticket, took) })
}

// Release ends the permit of a request that was not sent.
func (p *Permit) Release() {
	p.end(func(m *Machine, _ time.Duration) { m.Release() })
}

func (p *Permit) end(how func(m *Machine, took time.Duration)) {
	p.once.Do(func() {
		took := time.Since(p.ticket.started)
		p.gate.update(func(m *Machine, _ time.Time) { how(m, took) })
	})
}

// Hold keeps new work back until Proved is called.
func (g *Gate) Hold() {
	g.update(func(m *Machine, _ time.Time) { m.Hold() })
}

// Down notes that the server takes no connections.
func (g *Gate) Down() {
	g.update(func(m *Machine, _ time.Time) { m.Down() })
}

// Proved notes that the server was heard of, and for how long it is cold.
func (g *Gate) Proved(coldFor time.Duration) {
	g.update(func(m *Machine, now time.Time) { m.Proved(coldFor, now) })
}

// ColdUntil notes a later word about how long the server is cold.
func (g *Gate) ColdUntil(at time.Time) {
	g.update(func(m *Machine, _ time.Time) { m.ColdUntil(at) })
}

// SetLimits takes in the server's slots and the number of requests that it may get in
// any second while it is cold.
func (g *Gate) SetLimits(slots int, coldBound float64) {
	g.update(func(m *Machine, _ time.Time) { m.SetLimits(slots, coldBound) })
}

// SetClosed stops new work, or permits it again.
func (g *Gate) SetClosed(closed bool) {
	g.update(func(m *Machine, _ time.Time) { m.SetClosed(closed) })
}

func (g *Gate) update(change func(m *Machine, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.machine, time.Now())
	g.next()
}

// next moves the machine on and arranges its next move.
func (g *Gate) next() {
	at := g.machine.Next(time.Now())
	if at.IsZero() {
		return
	}
	wait := max(time.Until(at), 0)
	if g.wake == nil {
		g.wake = time.AfterFunc(wait, func() { g.update(func(*Machine, time.Time) {}) })
		return
	}
	g.wake.Reset(wait)
}

// Load returns how busy the server is.
func (g *Gate) Load() contract.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, now := g.machine, time.Now()
	load := contract.Load{
		Running: m.running, Queued: len(m.waiting), Limit: m.slots, State: host.StateWarm,
		Service: m.service.duration(), Failing: m.failing.value,
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
