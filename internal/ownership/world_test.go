package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
	"boragefall/internal/ledger"
	"boragefall/internal/verdict"
)

// Times of the world. The horizon is short, so that runs get beyond it.
const (
	worldLease   = 5 * time.Second
	worldHorizon = time.Minute
	worldWindow  = 20 * time.Second
	beat         = time.Second
)

// plant is a fault put into the world's gates, to see the properties fail.
type plant struct {
	name        string
	schedule    int                           // the first schedule to try
	falseFence  bool                          // a gate says fenced without a tombstone
	receiptTime bool                          // an answer counts from its arrival
	bootRule    bool                          // a process believes that it runs since ever
	heard       func(h *Heartbeat)            // changes an answer
	took        func(m *Machine, n time.Time) // after each answer
	asked       func(r *rights)               // before each claim
}

// process is one gate; incarnation changes when it restarts.
type process struct {
	id          host.ID
	offset      time.Duration
	side        int
	incarnation int
	alive       bool
	paused      bool
	boot        time.Time
	machine     *Machine
	ledger      *ledger.Ledger
	backlog     []func()
	arrivals    map[string][]time.Time
}

type event struct {
	due time.Time
	do  func()
}

// testKey is a caller's request with what became of it.
type testKey struct {
	idempotency.Key
	runs     []string
	ranFirst time.Time
	fenced   map[host.ID]time.Time
	made     time.Time
}

// entryNode is an entry with its own, perhaps late, host list.
type entryNode struct {
	side, list int
}

// world is the fleet of one service under virtual time.
type world struct {
	fail      func(format string, args ...any)
	rng       *rand.Rand
	cfg       Config
	plant     plant
	now       time.Time
	events    []event
	lists     []View
	published []time.Time
	procs     []*process
	entries   [2]entryNode
	keys      []*testKey
	log       []string
	ranTotal  int
	busy      bool // messages are late and gates refuse for load now and then
}

func newWorld(fail func(string, ...any), seed uint64, hosts int, cfg Config, p plant) *world {
	w := &world{
		fail: fail, cfg: cfg, plant: p, busy: true,
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
	}
	var ids []host.ID
	for range hosts {
		ids = append(ids, w.addProcess().id)
	}
	w.publish(ids)
	for _, p := range w.procs {
		w.start(p, 0)
		p.machine.floor = w.lists[0].Revision // the fleet has been up for long
	}
	return w
}

func (w *world) notef(format string, args ...any) {
	w.log = append(w.log, w.now.Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (w *world) addProcess() *process {
	p := &process{id: host.ID(fmt.Sprintf("h%d", len(w.procs))), offset: w.within(2*time.Second) - time.Second}
	w.procs = append(w.procs, p)
	return p
}

func (w *world) newest() int { return len(w.lists) - 1 }

// publish makes a new host list; a host that it drops stops within the horizon.
func (w *world) publish(ids []host.ID) {
	w.lists = append(w.lists, View{Revision: uint64(10 * (len(w.lists) + 1)), Hosts: ids})
	w.published = append(w.published, w.now)
	w.notef("publish %v", w.lists[w.newest()])
	for _, p := range w.procs {
		if p.alive && !slices.Contains(ids, p.id) {
			w.at(worldHorizon-time.Second, func() { w.stopDropped(p) })
		}
	}
}

// stopDropped is the platform's part: a host off the list for a horizon is gone.
func (w *world) stopDropped(p *process) {
	for i, list := range w.lists {
		if w.now.Sub(w.published[i]) < worldHorizon-2*time.Second && slices.Contains(list.Hosts, p.id) {
			return
		}
	}
	if !slices.Contains(w.lists[w.newest()].Hosts, p.id) {
		p.alive = false
	}
}

func (w *world) start(p *process, list int) {
	p.incarnation++
	p.alive, p.paused, p.backlog = true, false, nil
	p.boot = w.now
	p.arrivals = make(map[string][]time.Time)
	p.machine = New(w.cfg, p.id, w.clock(p))
	boot := w.clock(p)
	if w.plant.bootRule {
		boot = time.Time{}
	}
	p.ledger = ledger.New(ledger.Config{Horizon: worldHorizon}, boot)
	p.machine.SetView(w.lists[list], w.clock(p))
	w.notef("start %s on list %d", p.id, w.lists[list].Revision)
	w.on(p, w.within(beat), func() { w.heartbeats(p) })
}

func (w *world) clock(p *process) time.Time { return w.now.Add(p.offset) }

func (w *world) at(d time.Duration, do func()) {
	e := event{due: w.now.Add(d), do: do}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if a.due.After(b.due) {
			return 1
		}
		return -1
	})
	w.events = slices.Insert(w.events, i, e)
}

// on runs do on a process after d, later when it is paused then, never when it
// has ended by then.
func (w *world) on(p *process, d time.Duration, do func()) {
	incarnation := p.incarnation
	w.at(d, func() {
		if !p.alive || p.incarnation != incarnation {
			return
		}
		if p.paused {
			p.backlog = append(p.backlog, do)
			return
		}
		do()
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].due.After(end) {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.due
		e.do()
	}
	w.now = end
}

func (w *world) wake(p *process) {
	if !p.paused {
		return
	}
	p.paused = false
	w.notef("wake %s", p.id)
	backlog := p.backlog
	p.backlog = nil
	if w.rng.IntN(2) == 0 {
		p.machine.Paused(w.clock(p))
	}
	for _, do := range backlog {
		do()
	}
}

// within returns a time span below d.
func (w *world) within(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

// delay is mostly short and now and then long enough to cross or outlast leases.
func (w *world) delay() time.Duration {
	if w.busy && w.rng.IntN(12) == 0 {
		return w.within(20 * time.Second)
	}
	return w.within(50 * time.Millisecond)
}

func (w *world) find(id host.ID) *process {
	for _, p := range w.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *world) heartbeats(p *process) {
	p.machine.Heartbeat(w.clock(p))
	for _, id := range p.machine.Peers() {
		q := w.find(id)
		sent := w.clock(p)
		if q.side != p.side {
			continue
		}
		w.on(q, w.delay(), func() {
			answer := q.machine.Heartbeat(w.clock(q))
			if q.side == p.side {
				w.on(p, w.delay(), func() { w.takeAnswer(p, answer, sent) })
			}
		})
	}
	w.on(p, beat, func() { w.heartbeats(p) })
}

func (w *world) takeAnswer(p *process, answer Heartbeat, sent time.Time) {
	if w.plant.receiptTime {
		sent = w.clock(p)
	}
	if w.plant.heard != nil {
		w.plant.heard(&answer)
	}
	p.machine.HeartbeatReceived(answer, sent, w.clock(p))
	if w.plant.took != nil {
		w.plant.took(p.machine, w.clock(p))
	}
}

// mayRun asks a process's machine, with the planted fault if there is one.
func (w *world) mayRun(p *process, c Claim, now time.Time) *verdict.Error {
	if w.plant.asked != nil {
		r := *p.machine.rights.Load()
		w.plant.asked(&r)
		p.machine.rights.Store(&r)
	}
	return p.machine.MayRun(c, now)
}

// send starts one try of a key at an entry.
func (w *world) send(k *testKey, e *entryNode) {
	w.step(k, e, NewWalk(k.Value, w.lists[e.list]))
}

func (w *world) step(k *testKey, e *entryNode, walk *Walk) {
	id, ok := walk.Next()
	p := w.find(id)
	if !ok || p.side != e.side {
		return
	}
	fences := walk.Fences()
	w.on(p, w.delay(), func() {
		w.arrive(p, k, fences, func(refusal *verdict.Error) {
			if refusal.Fenced {
				k.fenced[p.id] = w.now
			}
			w.at(w.delay(), func() {
				if p.side == e.side && walk.Refused(p.id, refusal) {
					w.step(k, e, walk)
				}
			})
		})
	})
}

// arrive is a gate's handling of one request, as the gate is meant to do it.
func (w *world) arrive(p *process, k *testKey, fences []host.ID, reply func(*verdict.Error)) {
	claim := Claim{Scoped: k.Value, Key: k.Key, Fences: fences, ResendWindow: worldWindow}
	arrived := w.clock(p)
	owned := w.mayRun(p, claim, arrived)
	p.arrivals[k.Value] = append(p.arrivals[k.Value], w.now)
	req := ledger.Request{Key: k.Key, ScopedKey: k.Value, ResendWindow: worldWindow, Ownership: owned}
	d := p.ledger.Begin(req, arrived)
	switch d.Kind {
	case ledger.Run:
		queued := min(w.delay(), 3*time.Second)
		w.on(p, queued, func() { w.dispatch(p, k, claim, d.Entry, reply) })
	case ledger.Refuse:
		w.checkVerdict(p, k, d.Refusal)
		refusal := d.Refusal
		if refusal.Reason == verdict.ReasonNoLease && w.rng.IntN(3) == 0 {
			refusal = p.ledger.Fence(req, arrived)
		}
		reply(refusal)
	}
}

// dispatch is the end of the queue: refused for load, or handed to the server.
func (w *world) dispatch(p *process, k *testKey, c Claim, e *ledger.Entry, reply func(*verdict.Error)) {
	now := w.clock(p)
	if w.busy && w.rng.IntN(4) == 0 {
		refusal := p.machine.Refusal(c, verdict.Refuse(verdict.ReasonOverloaded, time.Second), now)
		w.checkVerdict(p, k, refusal)
		refusal.Fenced = w.rng.IntN(3) > 0
		outcome := ledger.OutcomeNotRun
		if refusal.Verdict != verdict.NotRun {
			outcome = ledger.OutcomeOwnershipLost
		}
		if refusal.Fenced && !w.plant.falseFence {
			outcome = ledger.OutcomeFenced
		}
		e.Finish(outcome, nil, now)
		reply(refusal)
		return
	}
	if refusal := w.mayRun(p, c, now); refusal != nil {
		e.Finish(ledger.OutcomeOwnershipLost, nil, w.clock(p))
		reply(refusal)
		return
	}
	w.on(p, w.within(20*time.Millisecond), func() {
		w.ran(p, k)
		w.on(p, w.delay(), func() { e.Finish(ledger.OutcomeRan, &ledger.Answer{Status: 200}, w.clock(p)) })
	})
}

// checkVerdict holds NotRun against what ran.
func (w *world) checkVerdict(p *process, k *testKey, e *verdict.Error) {
	if e.Verdict == verdict.NotRun && len(k.runs) > 0 && w.counts(p, k) {
		w.fail("%s said not-run of %s, which ran on %v", p.id, k.Value, k.runs)
	}
}

func (w *world) ran(p *process, k *testKey) {
	w.notef("run %s on %s, made %s", k.Value, p.id, k.made.Format("04:05.000"))
	w.ranTotal++
	if at, ok := k.fenced[p.id]; ok && w.now.Sub(at) < worldHorizon {
		w.fail("%s ran %s after it said fenced", p.id, k.Value)
	}
	if len(k.runs) > 0 && w.counts(p, k) {
		w.fail("%s ran %s, which ran on %v", p.id, k.Value, k.runs)
	}
	if len(k.runs) == 0 {
		k.ranFirst = w.now
	}
	k.runs = append(k.runs, string(p.id))
}

// counts reports whether a second run breaks a promise. For an untimed key it
// does when the caller kept sending to the second gate: no gap as long as the
// window since the first run or the gate's boot.
func (w *world) counts(p *process, k *testKey) bool {
	if k.Timed() {
		return true
	}
	last := k.ranFirst
	if p.boot.After(last) {
		last = p.boot
	}
	for _, at := range p.arrivals[k.Value] {
		if at.Sub(last) >= worldWindow-settleMargin {
			return false
		}
		last = at
	}
	return true
}
