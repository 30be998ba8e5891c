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

// Times of the simulation. The horizon is short, so that runs exceed it.
const (
	simLease          = 5 * time.Second
	simHorizon        = time.Minute
	simResendWindow   = 20 * time.Second
	heartbeatInterval = time.Second
)

// fault is a fault injected into the simulated gates to check that the properties
// detect it.
type fault struct {
	name                  string
	schedule              int                                // index of the first schedule to try
	fenceWithoutTombstone bool                               // a gate reports a fence without a tombstone
	leaseFromReceipt      bool                               // the lease of an answer counts from its arrival
	ignoreBoot            bool                               // the ledger does not know when the process started
	alterAnswer           func(h *Heartbeat)                 // modifies a heartbeat answer
	afterAnswer           func(m *StateMachine, n time.Time) // called after each heartbeat answer
	beforeClaim           func(r *snapshot)                  // called before each claim
}

// process is a gate's process; incarnation is incremented on each restart.
type process struct {
	id          host.ID
	offset      time.Duration
	partition   int
	incarnation int
	alive       bool
	paused      bool
	boot        time.Time
	machine     *StateMachine
	ledger      *ledger.Ledger
	backlog     []func()
	arrivals    map[string][]time.Time
}

type event struct {
	due time.Time
	run func()
}

// testKey is a caller's keyed request and what happened to it.
type testKey struct {
	idempotency.Key
	runs     []string
	firstRun time.Time
	fenced   map[host.ID]time.Time
	created  time.Time
}

// entryNode is an entry with its own host list, which may be outdated.
type entryNode struct {
	partition, list int
}

// simulation is the fleet of one service in virtual time.
type simulation struct {
	fail      func(format string, args ...any)
	rng       *rand.Rand
	cfg       Config
	fault     fault
	now       time.Time
	events    []event
	lists     []View
	published []time.Time
	procs     []*process
	entries   [2]entryNode
	keys      []*testKey
	log       []string
	runTotal  int
	congested bool // some messages are late and some requests are refused for overload
}

func newSimulation(fail func(string, ...any), seed uint64, hosts int, cfg Config, f fault) *simulation {
	w := &simulation{
		fail: fail, cfg: cfg, fault: f, congested: true,
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
	}
	var ids []host.ID
	for range hosts {
		ids = append(ids, w.addProcess().id)
	}
	w.publish(ids)
	for _, p := range w.procs {
		w.start(p, 0)
		p.machine.floor = w.lists[0].Revision // the fleet is already settled
	}
	return w
}

func (w *simulation) logf(format string, args ...any) {
	w.log = append(w.log, w.now.Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (w *simulation) addProcess() *process {
	p := &process{id: host.ID(fmt.Sprintf("h%d", len(w.procs))), offset: w.randomBelow(2*time.Second) - time.Second}
	w.procs = append(w.procs, p)
	return p
}

func (w *simulation) newest() int { return len(w.lists) - 1 }

// publish publishes a new host list. Live hosts that are not in it stop within the
// horizon.
func (w *simulation) publish(ids []host.ID) {
	w.lists = append(w.lists, View{Revision: uint64(10 * (len(w.lists) + 1)), Hosts: ids})
	w.published = append(w.published, w.now)
	w.logf("publish %v", w.lists[w.newest()])
	for _, p := range w.procs {
		if p.alive && !slices.Contains(ids, p.id) {
			w.after(simHorizon-time.Second, func() { w.stopDropped(p) })
		}
	}
}

// stopDropped simulates the platform, which stops a host that has been off the list
// for a horizon.
func (w *simulation) stopDropped(p *process) {
	for i, list := range w.lists {
		if w.now.Sub(w.published[i]) < simHorizon-2*time.Second && slices.Contains(list.Hosts, p.id) {
			return
		}
	}
	if !slices.Contains(w.lists[w.newest()].Hosts, p.id) {
		p.alive = false
	}
}

func (w *simulation) start(p *process, list int) {
	p.incarnation++
	p.alive, p.paused, p.backlog = true, false, nil
	p.boot = w.now
	p.arrivals = make(map[string][]time.Time)
	p.machine = New(w.cfg, p.id, w.clock(p))
	boot := w.clock(p)
	if w.fault.ignoreBoot {
		boot = time.Time{}
	}
	p.ledger = ledger.New(ledger.Config{Horizon: simHorizon}, boot)
	p.machine.SetView(w.lists[list], w.clock(p))
	w.logf("start %s on list %d", p.id, w.lists[list].Revision)
	w.runOn(p, w.randomBelow(heartbeatInterval), func() { w.heartbeats(p) })
}

func (w *simulation) clock(p *process) time.Time { return w.now.Add(p.offset) }

func (w *simulation) after(d time.Duration, do func()) {
	e := event{due: w.now.Add(d), run: do}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if a.due.After(b.due) {
			return 1
		}
		return -1
	})
	w.events = slices.Insert(w.events, i, e)
}

// runOn calls do for a process after d. It calls do on resume if the process is paused
// then, and never if it has ended.
func (w *simulation) runOn(p *process, d time.Duration, do func()) {
	incarnation := p.incarnation
	w.after(d, func() {
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

func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].due.After(end) {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.due
		e.run()
	}
	w.now = end
}

func (w *simulation) resume(p *process) {
	if !p.paused {
		return
	}
	p.paused = false
	w.logf("resume %s", p.id)
	backlog := p.backlog
	p.backlog = nil
	if w.rng.IntN(2) == 0 {
		p.machine.Paused(w.clock(p))
	}
	for _, do := range backlog {
		do()
	}
}

// randomBelow returns a random duration below d.
func (w *simulation) randomBelow(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

// delay returns a message delay that is mostly short and sometimes long enough to
// cross or outlast leases.
func (w *simulation) delay() time.Duration {
	if w.congested && w.rng.IntN(12) == 0 {
		return w.randomBelow(20 * time.Second)
	}
	return w.randomBelow(50 * time.Millisecond)
}

func (w *simulation) find(id host.ID) *process {
	for _, p := range w.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *simulation) heartbeats(p *process) {
	p.machine.Heartbeat(w.clock(p))
	for _, id := range p.machine.Peers() {
		q := w.find(id)
		sent := w.clock(p)
		if q.partition != p.partition {
			continue
		}
		w.runOn(q, w.delay(), func() {
			answer := q.machine.Heartbeat(w.clock(q))
			if q.partition == p.partition {
				w.runOn(p, w.delay(), func() { w.receiveAnswer(p, answer, sent) })
			}
		})
	}
	w.runOn(p, heartbeatInterval, func() { w.heartbeats(p) })
}

func (w *simulation) receiveAnswer(p *process, answer Heartbeat, sent time.Time) {
	if w.fault.leaseFromReceipt {
		sent = w.clock(p)
	}
	if w.fault.alterAnswer != nil {
		w.fault.alterAnswer(&answer)
	}
	p.machine.HeartbeatReceived(answer, sent, w.clock(p))
	if w.fault.afterAnswer != nil {
		w.fault.afterAnswer(p.machine, w.clock(p))
	}
}

// mayRun calls MayRun of a process's state machine, with the injected fault if there
// is one.
func (w *simulation) mayRun(p *process, c Claim, now time.Time) *verdict.Error {
	if w.fault.beforeClaim != nil {
		r := *p.machine.snapshot.Load()
		w.fault.beforeClaim(&r)
		p.machine.snapshot.Store(&r)
	}
	return p.machine.MayRun(c, now)
}

// send starts one attempt of a key at an entry.
func (w *simulation) send(k *testKey, e *entryNode) {
	w.tryNext(k, e, NewFailover(k.Value, w.lists[e.list]))
}

func (w *simulation) tryNext(k *testKey, e *entryNode, failover *Failover) {
	id, ok := failover.Next()
	p := w.find(id)
	if !ok || p.partition != e.partition {
		return
	}
	fences := failover.FencedHosts()
	w.runOn(p, w.delay(), func() {
		w.handleRequest(p, k, fences, func(refusal *verdict.Error) {
			if refusal.Fenced {
				k.fenced[p.id] = w.now
			}
			w.after(w.delay(), func() {
				if p.partition == e.partition && failover.RecordRefusal(p.id, refusal) {
					w.tryNext(k, e, failover)
				}
			})
		})
	})
}

// handleRequest simulates how a gate handles a request.
func (w *simulation) handleRequest(p *process, k *testKey, fences []host.ID, reply func(*verdict.Error)) {
	claim := Claim{ScopedKey: k.Value, Key: k.Key, FencedHosts: fences, ResendWindow: simResendWindow}
	arrived := w.clock(p)
	ownership := w.mayRun(p, claim, arrived)
	p.arrivals[k.Value] = append(p.arrivals[k.Value], w.now)
	req := ledger.Request{Key: k.Key, ScopedKey: k.Value, ResendWindow: simResendWindow, Ownership: ownership}
	d := p.ledger.Begin(req, arrived)
	switch d.Kind {
	case ledger.Run:
		queued := min(w.delay(), 3*time.Second)
		w.runOn(p, queued, func() { w.dispatch(p, k, claim, d.Entry, reply) })
	case ledger.Refuse:
		w.checkVerdict(p, k, d.Refusal)
		refusal := d.Refusal
		if refusal.Reason == verdict.ReasonNoLease && w.rng.IntN(3) == 0 {
			refusal = p.ledger.Fence(req, arrived)
		}
		reply(refusal)
	}
}

// dispatch takes a request from the queue: it is refused for overload or passed to the
// server.
func (w *simulation) dispatch(p *process, k *testKey, c Claim, e *ledger.Entry, reply func(*verdict.Error)) {
	now := w.clock(p)
	if w.congested && w.rng.IntN(4) == 0 {
		refusal := p.machine.Refusal(c, verdict.Refuse(verdict.ReasonOverloaded, time.Second), now)
		w.checkVerdict(p, k, refusal)
		refusal.Fenced = w.rng.IntN(3) > 0
		outcome := ledger.OutcomeNotRun
		if refusal.Verdict != verdict.NotRun {
			outcome = ledger.OutcomeOwnershipLost
		}
		if refusal.Fenced && !w.fault.fenceWithoutTombstone {
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
	w.runOn(p, w.randomBelow(20*time.Millisecond), func() {
		w.recordRun(p, k)
		w.runOn(p, w.delay(), func() { e.Finish(ledger.OutcomeRan, &ledger.Answer{Status: 200}, w.clock(p)) })
	})
}

// checkVerdict fails if NotRun is returned for a key that ran.
func (w *simulation) checkVerdict(p *process, k *testKey, e *verdict.Error) {
	if e.Verdict == verdict.NotRun && len(k.runs) > 0 && w.violatesAtMostOnce(p, k) {
		w.fail("%s returned not-run for %s, which ran on %v", p.id, k.Value, k.runs)
	}
}

func (w *simulation) recordRun(p *process, k *testKey) {
	w.logf("run %s on %s, created %s", k.Value, p.id, k.created.Format("04:05.000"))
	w.runTotal++
	if at, ok := k.fenced[p.id]; ok && w.now.Sub(at) < simHorizon {
		w.fail("%s ran %s after reporting it fenced", p.id, k.Value)
	}
	if len(k.runs) > 0 && w.violatesAtMostOnce(p, k) {
		w.fail("%s ran %s, which ran on %v", p.id, k.Value, k.runs)
	}
	if len(k.runs) == 0 {
		k.firstRun = w.now
	}
	k.runs = append(k.runs, string(p.id))
}

// violatesAtMostOnce reports whether a second run violates at-most-once. For an
// untimed key it does if the caller kept sending to the second gate, with no gap as
// long as the resend window since the first run or the gate's boot.
func (w *simulation) violatesAtMostOnce(p *process, k *testKey) bool {
	if k.Timed() {
		return true
	}
	last := k.firstRun
	if p.boot.After(last) {
		last = p.boot
	}
	for _, at := range p.arrivals[k.Value] {
		if at.Sub(last) >= simResendWindow-leaseMargin {
			return false
		}
		last = at
	}
	return true
}
