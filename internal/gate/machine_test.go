package gate

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

const (
	machineSlots     = 6
	machineWarm      = 8
	machineQueue     = 5
	machineSuspects  = 4
	machineForgetful = 20 * time.Second
)

// reply is the one answer of an Admit.
type reply struct {
	permit *Permit
	err    error
}

// machine drives one gate with random operations and keeps a model of what the
// gate may allow. The model knows outcomes only, none of the gate's state.
type machine struct {
	*WithT
	gate    *Gate
	cold    int
	replies chan reply
	cancels []context.CancelFunc
	pending int
	held    []*Permit
	refused int
	leaving bool

	// earned counts good answers since the server was last known to be cold.
	earned int
	// coldSince is the latest admission when it was.
	coldSince uint64
	// doubted is set by a pause until a good answer to a later admission.
	doubted      bool
	doubtedSince uint64
	boots        []string
	latest       uint64
	// suspects are the gate's before the operation, and suspectRuns the held
	// permits of those that it admitted as such.
	suspects    []uint64
	suspectRuns []*Permit
}

func newMachine(t *rapid.T) *machine {
	cold := rapid.IntRange(1, 2).Draw(t, "cold limit")
	return &machine{
		WithT: NewWithT(t),
		cold:  cold,
		gate: New(Config{
			Service: config.Service{
				Slots: machineSlots, Connections: 9, ColdLimit: cold,
				QueueLimit: machineQueue, WarmAfter: machineWarm,
			},
			QuarantineSize: machineSuspects, QuarantineFor: machineForgetful, ProbationAnswers: 1,
			SuspectHold: 10 * time.Millisecond, SuspectAlone: 10 * time.Millisecond,
		}, nil),
		replies: make(chan reply, 1000),
	}
}

func (m *machine) admit(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r := Request{
		Caller:      rapid.SampledFrom([]string{"crew", "boat", "club"}).Draw(t, "caller"),
		Weight:      rapid.IntRange(0, 3).Draw(t, "weight"),
		Priority:    rapid.SampledFrom([]config.Priority{config.PriorityHigh, "", config.PriorityLow}).Draw(t, "priority"),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Fingerprint: rapid.Uint64Range(0, 8).Draw(t, "fingerprint"),
		Crashes:     rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "crashes"),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = time.Now().Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "ms")) * time.Millisecond)
	}
	m.pending++
	m.cancels = append(m.cancels, cancel)
	go func() {
		p, err := m.gate.Admit(ctx, r)
		m.replies <- reply{permit: p, err: err}
	}()
	m.settle(t)
}

// serve is a calm time: full houses of good answers, which warm the server.
func (m *machine) serve(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		for range machineSlots {
			m.pending++
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				p, err := m.gate.Admit(ctx, Request{Caller: "crew"})
				m.replies <- reply{permit: p, err: err}
			}()
			m.settle(t)
		}
		time.Sleep(testLatency)
		m.settle(t)
		for len(m.held) > 0 {
			m.finishOne(t, 0, Outcome{Kind: OutcomeGood, Latency: testLatency, BootID: "a"})
		}
	}
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.cancels) == 0 {
		t.Skip("nothing to cancel")
	}
	rapid.SampledFrom(m.cancels).Draw(t, "which")()
	m.settle(t)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.held) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "which")
	o := Outcome{
		Kind: rapid.SampledFrom([]OutcomeKind{
			OutcomeGood, OutcomeGood, OutcomeGood, OutcomeGood, OutcomeGood, OutcomeGood,
			OutcomeError, OutcomeShed, OutcomeRefused, OutcomeCrashed, OutcomeCanceled, OutcomeTimeout,
		}).Draw(t, "kind"),
		Latency: time.Duration(rapid.IntRange(0, 50).Draw(t, "latency")) * time.Millisecond,
	}
	if o.Kind.answered() {
		o.BootID = rapid.SampledFrom([]string{"a", "a", "a", "a", "a", "a", "b", ""}).Draw(t, "boot")
	}
	p := m.held[i]
	m.finishOne(t, i, o)
	if rapid.Bool().Draw(t, "twice") {
		p.Done(Outcome{Kind: OutcomeCrashed})
	}
	m.settle(t)
}

// finishOne ends one held permit.
func (m *machine) finishOne(t *rapid.T, i int, o Outcome) {
	p := m.held[i]
	m.held = slices.Delete(m.held, i, i+1)
	m.observe(p, o)
	p.Done(o)
	m.settle(t)
}

// observe brings the model up to an outcome.
func (m *machine) observe(p *Permit, o Outcome) {
	restarted := o.BootID != "" && !slices.Contains(m.boots, o.BootID)
	if restarted {
		m.boots = append(m.boots, o.BootID)
	}
	fault := o.Kind == OutcomeCrashed || o.Kind == OutcomeRefused
	switch {
	case restarted && len(m.boots) > 1, fault && p.sequence > m.coldSince:
		m.turnCold()
	case o.Kind == OutcomeGood && p.sequence > m.coldSince:
		m.earned++
		if p.sequence > m.doubtedSince {
			m.doubted = false
		}
	}
}

func (m *machine) turnCold() {
	m.earned = 0
	m.coldSince = m.latest
	m.doubted = false
}

func (m *machine) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 300, 1100, 4000}).Draw(t, "ms")) * time.Millisecond)
	m.settle(t)
}

func (m *machine) pause(t *rapid.T) {
	m.gate.Paused(2 * time.Second)
	m.doubted, m.doubtedSince = true, m.latest
	m.settle(t)
}

func (m *machine) hint(t *rapid.T) {
	before := m.limit()
	m.gate.Hint(Hint{
		Healthy: rapid.Bool().Draw(t, "healthy"),
		Load:    rapid.Float64Range(0, 3).Draw(t, "load"),
		BootID:  rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "boot"),
	})
	m.Expect(m.gate.Load().Limit).To(BeNumerically("<=", before), "a hint never raises")
	m.settle(t)
}

func (m *machine) leave(t *rapid.T) {
	if m.leaving {
		m.turnCold()
	}
	m.leaving = !m.leaving
	m.gate.SetLeaving(m.leaving)
	m.settle(t)
}

func (m *machine) gossip(t *rapid.T) {
	fp := rapid.Uint64Range(0, 20).Draw(t, "fingerprint")
	if rapid.Bool().Draw(t, "convicted") {
		m.gate.Convict(fp, time.Now())
	} else {
		m.gate.Suspect(fp, time.Now())
	}
	m.settle(t)
}

// settle takes in the answers and checks what must hold between operations.
func (m *machine) settle(t *rapid.T) {
	synctest.Wait()
	admitted := m.collect()
	load := m.gate.Load()
	m.Expect(load.Running).To(Equal(len(m.held)), "permits balance")
	m.Expect(load.Queued).To(Equal(m.pending), "every waiter is in the queue once or answered once")
	m.Expect(load.Queued).To(BeNumerically("<=", machineQueue+machineQueue/suspectShare))
	m.Expect(load.State == host.StateLeaving).To(Equal(m.leaving))
	if m.leaving {
		m.Expect(load.Queued).To(BeZero(), "leaving refuses waiters")
	}
	if len(admitted) > 0 {
		m.checkAdmission(admitted, load)
	}
	m.checkQuarantine(admitted)
	if t != nil && load.Queued > 0 && load.Running == 0 {
		var wakeAt time.Time
		m.inside(func(g *Gate) { wakeAt = g.isolation.wakeAt() })
		m.Expect(wakeAt.IsZero()).To(BeFalse(), "nobody waits for nothing")
	}
}

// inside looks into the gate under its mutex, since timers may run it too.
func (m *machine) inside(look func(g *Gate)) {
	m.gate.mu.Lock()
	defer m.gate.mu.Unlock()
	look(m.gate)
}

// limit is the gate's limit now; the published one is of the last event.
func (m *machine) limit() int {
	var limit int
	m.inside(func(g *Gate) { limit = g.limiter.current(time.Now()) })
	return limit
}

func (m *machine) collect() []*Permit {
	var admitted []*Permit
	for len(m.replies) > 0 {
		r := <-m.replies
		m.pending--
		if r.err != nil {
			m.refused++
			m.Expect(r.permit).To(BeNil())
			refusal := verdict.Of(r.err)
			m.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
			m.Expect(refusal.RetryAfter).To(And(
				BeNumerically(">", 0), BeNumerically("<=", defaultMaxRetryAfter)))
			continue
		}
		m.held = append(m.held, r.permit)
		admitted = append(admitted, r.permit)
		m.latest = max(m.latest, r.permit.sequence)
	}
	return admitted
}

// checkAdmission checks the new permits against the gate's limit and against
// the model's, which follows from outcomes alone.
func (m *machine) checkAdmission(admitted []*Permit, load Load) {
	m.Expect(m.leaving).To(BeFalse(), "nothing is admitted while leaving")
	m.Expect(load.Running).To(BeNumerically("<=", m.limit()), "the limit holds at admission")
	perStep := (machineWarm + machineSlots - m.cold - 1) / (machineSlots - m.cold)
	bound := min(m.cold+m.earned/perStep, machineSlots)
	if m.earned >= machineWarm {
		bound = machineSlots
	}
	if m.doubted {
		bound = m.cold
	}
	m.Expect(load.Running).To(BeNumerically("<=", bound), "no more than the answers have proved")
	for _, p := range admitted {
		var left time.Duration
		m.inside(func(g *Gate) { left = g.quarantine.convictedFor(p.request.Fingerprint, time.Now()) })
		m.Expect(left).To(BeZero(), "convicted")
	}
}

func (m *machine) checkQuarantine(admitted []*Permit) {
	now := m.gate.Suspects()
	for _, p := range admitted {
		fp := p.request.Fingerprint
		if slices.Contains(m.suspects, fp) && slices.Contains(now, fp) {
			m.suspectRuns = append(m.suspectRuns, p)
		}
	}
	m.suspects = now
	m.suspectRuns = slices.DeleteFunc(m.suspectRuns, func(p *Permit) bool { return !slices.Contains(m.held, p) })
	m.Expect(len(m.suspectRuns)).To(BeNumerically("<=", 1), "suspects run one at a time")
	m.Expect(len(m.gate.Quarantine())).To(BeNumerically("<=", machineSuspects))
	m.Expect(len(m.gate.Suspects())).To(BeNumerically("<=", machineSuspects))
	m.inside(func(g *Gate) {
		m.Expect(len(g.quarantine.abandoned)).To(BeNumerically("<=", maxAbandoned))
		m.Expect(g.accounts.known.Len()).To(BeNumerically("<=", 3))
	})
}

// end drains the gate and checks that nothing is left.
func (m *machine) end(t *rapid.T) {
	if !m.leaving {
		m.leave(t)
	}
	for _, p := range m.held {
		p.Done(good())
	}
	m.held = nil
	m.settle(nil)
	m.Expect(m.pending).To(BeZero())
	m.Expect(m.gate.Drain(context.Background())).To(Succeed())
}

// bubbleTB hides the deadline of a test, which synctest does not let rapid ask.
type bubbleTB struct{ *testing.T }

func TestRandomOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			m := newMachine(t)
			t.Repeat(map[string]func(*rapid.T){
				"admit": m.admit, "admit again": m.admit, "admit more": m.admit,
				"finish": m.finish, "finish again": m.finish, "finish more": m.finish,
				"serve": m.serve, "serve again": m.serve, "cancel": m.cancel, "pass": m.pass, "pause": m.pause,
				"hint": m.hint, "leave": m.leave, "gossip": m.gossip,
			})
			m.end(t)
		})
	})
}
