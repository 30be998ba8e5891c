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
	machineSlots          = 6
	machineWarmAfter      = 8
	machineQueueLimit     = 5
	machineQuarantineSize = 4
	machineQuarantineFor  = 20 * time.Second
)

// reply is the result of one Admit call.
type reply struct {
	permit *Permit
	err    error
}

// machine drives one gate with random operations and keeps a model of what the gate may
// allow. The model is updated from outcomes alone, not from the gate's state.
type machine struct {
	*WithT
	gate      *Gate
	coldLimit int
	replies   chan reply
	cancels   []context.CancelFunc
	pending   int
	held      []*Permit
	refused   int
	leaving   bool

	// successes counts successful answers since the server was last known to be cold.
	successes int
	// coldSequence is the latest admission at that time.
	coldSequence uint64
	// onProbation is set by a pause and cleared by a successful answer to a later
	// admission.
	onProbation       bool
	probationSequence uint64
	bootIDs           []string
	latestSequence    uint64
	// suspects are the gate's suspects before the operation, and runningSuspects the held
	// permits of requests that it admitted as suspects.
	suspects        []uint64
	runningSuspects []*Permit
}

func newMachine(t *rapid.T) *machine {
	coldLimit := rapid.IntRange(1, 2).Draw(t, "cold limit")
	return &machine{
		WithT:     NewWithT(t),
		coldLimit: coldLimit,
		gate: New(Config{
			Service: config.Service{
				Slots: machineSlots, Connections: 9, ColdLimit: coldLimit,
				QueueLimit: machineQueueLimit, WarmAfter: machineWarmAfter,
			},
			QuarantineSize: machineQuarantineSize, QuarantineFor: machineQuarantineFor, ProbationSuccesses: 1,
			SuspectDrainTimeout: 10 * time.Millisecond, SuspectExclusiveTime: 10 * time.Millisecond,
		}, nil),
		replies: make(chan reply, 1000),
	}
}

func (m *machine) admit(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r := Request{
		Caller:          rapid.SampledFrom([]string{"crew", "boat", "club"}).Draw(t, "caller"),
		Weight:          rapid.IntRange(0, 3).Draw(t, "weight"),
		Priority:        rapid.SampledFrom([]config.Priority{config.PriorityHigh, "", config.PriorityLow}).Draw(t, "priority"),
		Idempotent:      rapid.Bool().Draw(t, "idempotent"),
		Fingerprint:     rapid.Uint64Range(0, 8).Draw(t, "fingerprint"),
		ReportedCrashes: rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "crashes"),
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
	m.checkInvariants(t)
}

// serveBatches runs full batches of successful requests, which warm the server.
func (m *machine) serveBatches(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		for range machineSlots {
			m.pending++
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				p, err := m.gate.Admit(ctx, Request{Caller: "crew"})
				m.replies <- reply{permit: p, err: err}
			}()
			m.checkInvariants(t)
		}
		time.Sleep(testLatency)
		m.checkInvariants(t)
		for len(m.held) > 0 {
			m.finishPermit(t, 0, Outcome{Kind: OutcomeSuccess, Latency: testLatency, BootID: "a"})
		}
	}
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.cancels) == 0 {
		t.Skip("nothing to cancel")
	}
	rapid.SampledFrom(m.cancels).Draw(t, "which")()
	m.checkInvariants(t)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.held) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "which")
	o := Outcome{
		Kind: rapid.SampledFrom([]OutcomeKind{
			OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess,
			OutcomeError, OutcomeShed, OutcomeConnectionRefused, OutcomeCrashed, OutcomeCanceled, OutcomeTimeout,
		}).Draw(t, "kind"),
		Latency: time.Duration(rapid.IntRange(0, 50).Draw(t, "latency")) * time.Millisecond,
	}
	if o.Kind.answered() {
		o.BootID = rapid.SampledFrom([]string{"a", "a", "a", "a", "a", "a", "b", ""}).Draw(t, "boot")
	}
	p := m.held[i]
	m.finishPermit(t, i, o)
	if rapid.Bool().Draw(t, "twice") {
		p.Done(Outcome{Kind: OutcomeCrashed})
	}
	m.checkInvariants(t)
}

// finishPermit ends one held permit.
func (m *machine) finishPermit(t *rapid.T, i int, o Outcome) {
	p := m.held[i]
	m.held = slices.Delete(m.held, i, i+1)
	m.updateModel(p, o)
	p.Done(o)
	m.checkInvariants(t)
}

// updateModel updates the model with an outcome.
func (m *machine) updateModel(p *Permit, o Outcome) {
	restarted := o.BootID != "" && !slices.Contains(m.bootIDs, o.BootID)
	if restarted {
		m.bootIDs = append(m.bootIDs, o.BootID)
	}
	fault := o.Kind == OutcomeCrashed || o.Kind == OutcomeConnectionRefused
	switch {
	case restarted && len(m.bootIDs) > 1, fault && p.sequence > m.coldSequence:
		m.turnCold()
	case o.Kind == OutcomeSuccess && p.sequence > m.coldSequence:
		m.successes++
		if p.sequence > m.probationSequence {
			m.onProbation = false
		}
	}
}

func (m *machine) turnCold() {
	m.successes = 0
	m.coldSequence = m.latestSequence
	m.onProbation = false
}

func (m *machine) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 300, 1100, 4000}).Draw(t, "ms")) * time.Millisecond)
	m.checkInvariants(t)
}

func (m *machine) pause(t *rapid.T) {
	m.gate.ProcessPaused(2 * time.Second)
	m.onProbation, m.probationSequence = true, m.latestSequence
	m.checkInvariants(t)
}

func (m *machine) hint(t *rapid.T) {
	before := m.limit()
	m.gate.Hint(Hint{
		Healthy: rapid.Bool().Draw(t, "healthy"),
		Load:    rapid.Float64Range(0, 3).Draw(t, "load"),
		BootID:  rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "boot"),
	})
	m.Expect(m.gate.Load().Limit).To(BeNumerically("<=", before), "a hint never raises the limit")
	m.checkInvariants(t)
}

func (m *machine) leave(t *rapid.T) {
	if m.leaving {
		m.turnCold()
	}
	m.leaving = !m.leaving
	m.gate.SetLeaving(m.leaving)
	m.checkInvariants(t)
}

func (m *machine) gossip(t *rapid.T) {
	fp := rapid.Uint64Range(0, 20).Draw(t, "fingerprint")
	if rapid.Bool().Draw(t, "convicted") {
		m.gate.AddQuarantined(fp, time.Now())
	} else {
		m.gate.AddSuspect(fp, time.Now())
	}
	m.checkInvariants(t)
}

// checkInvariants collects the results and checks the invariants between operations.
func (m *machine) checkInvariants(t *rapid.T) {
	synctest.Wait()
	admitted := m.collect()
	load := m.gate.Load()
	m.Expect(load.Running).To(Equal(len(m.held)), "the running count equals the number of held permits")
	m.Expect(load.Queued).To(Equal(m.pending), "every pending request is queued")
	m.Expect(load.Queued).To(BeNumerically("<=", machineQueueLimit+machineQueueLimit/suspectQueueDivisor))
	m.Expect(load.State == host.StateLeaving).To(Equal(m.leaving))
	if m.leaving {
		m.Expect(load.Queued).To(BeZero(), "a leaving gate refuses its waiters")
	}
	if len(admitted) > 0 {
		m.checkAdmission(admitted, load)
	}
	m.checkQuarantine(admitted)
	if t != nil && load.Queued > 0 && load.Running == 0 {
		var wakeAt time.Time
		m.withLocked(func(g *Gate) { wakeAt = g.isolation.wakeAt() })
		m.Expect(wakeAt.IsZero()).To(BeFalse(), "requests wait only if a wake-up is scheduled")
	}
}

// withLocked inspects the gate under its mutex, since timers may change it too.
func (m *machine) withLocked(inspect func(g *Gate)) {
	m.gate.mu.Lock()
	defer m.gate.mu.Unlock()
	inspect(m.gate)
}

// limit returns the gate's current limit; the published one dates from the last event.
func (m *machine) limit() int {
	var limit int
	m.withLocked(func(g *Gate) { limit = g.limiter.current(time.Now()) })
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
			refusal := verdict.FromError(r.err)
			m.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
			m.Expect(refusal.RetryAfter).To(And(
				BeNumerically(">", 0), BeNumerically("<=", defaultMaxRetryAfter)))
			continue
		}
		m.held = append(m.held, r.permit)
		admitted = append(admitted, r.permit)
		m.latestSequence = max(m.latestSequence, r.permit.sequence)
	}
	return admitted
}

// checkAdmission checks the new permits against the gate's limit and against the model's
// limit, which follows from outcomes alone.
func (m *machine) checkAdmission(admitted []*Permit, load Load) {
	m.Expect(m.leaving).To(BeFalse(), "a leaving gate admits no requests")
	m.Expect(load.Running).To(BeNumerically("<=", m.limit()), "no more requests run than the gate's limit")
	perStep := (machineWarmAfter + machineSlots - m.coldLimit - 1) / (machineSlots - m.coldLimit)
	bound := min(m.coldLimit+m.successes/perStep, machineSlots)
	if m.successes >= machineWarmAfter {
		bound = machineSlots
	}
	if m.onProbation {
		bound = m.coldLimit
	}
	m.Expect(load.Running).To(BeNumerically("<=", bound), "no more requests run than the successful answers allow")
	for _, p := range admitted {
		var remaining time.Duration
		m.withLocked(func(g *Gate) { remaining = g.quarantine.quarantinedFor(p.request.Fingerprint, time.Now()) })
		m.Expect(remaining).To(BeZero(), "a quarantined request was admitted")
	}
}

func (m *machine) checkQuarantine(admitted []*Permit) {
	now := m.gate.Suspects()
	for _, p := range admitted {
		fp := p.request.Fingerprint
		if slices.Contains(m.suspects, fp) && slices.Contains(now, fp) {
			m.runningSuspects = append(m.runningSuspects, p)
		}
	}
	m.suspects = now
	m.runningSuspects = slices.DeleteFunc(m.runningSuspects, func(p *Permit) bool { return !slices.Contains(m.held, p) })
	m.Expect(len(m.runningSuspects)).To(BeNumerically("<=", 1), "suspects run one at a time")
	m.Expect(len(m.gate.Quarantined())).To(BeNumerically("<=", machineQuarantineSize))
	m.Expect(len(m.gate.Suspects())).To(BeNumerically("<=", machineQuarantineSize))
	m.withLocked(func(g *Gate) {
		m.Expect(len(g.quarantine.abandoned)).To(BeNumerically("<=", maxAbandoned))
		m.Expect(g.accounts.byCaller.Len()).To(BeNumerically("<=", 3))
	})
}

// shutDown drains the gate and checks that no request is left.
func (m *machine) shutDown(t *rapid.T) {
	if !m.leaving {
		m.leave(t)
	}
	for _, p := range m.held {
		p.Done(success())
	}
	m.held = nil
	m.checkInvariants(nil)
	m.Expect(m.pending).To(BeZero())
	m.Expect(m.gate.Drain(context.Background())).To(Succeed())
}

// bubbleTB hides the Deadline method of a test, which rapid must not call under synctest.
type bubbleTB struct{ *testing.T }

func TestRandomOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			m := newMachine(t)
			t.Repeat(map[string]func(*rapid.T){
				"admit": m.admit, "admit again": m.admit, "admit more": m.admit,
				"finish": m.finish, "finish again": m.finish, "finish more": m.finish,
				"serve": m.serveBatches, "serve again": m.serveBatches, "cancel": m.cancel, "pass": m.advanceTime, "pause": m.pause,
				"hint": m.hint, "leave": m.leave, "gossip": m.gossip,
			})
			m.shutDown(t)
		})
	})
}
