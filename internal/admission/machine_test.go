package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/verdict"
)

var start = time.Unix(1000, 0)

// warmMachine returns a machine whose server is warm.
func warmMachine(slots int) *Machine {
	m := NewMachine(slots, 10)
	m.MarkUp(0, start)
	return m
}

func request(now time.Time, objective, deadline time.Duration) Request {
	return Request{Class: "read", Deadline: now.Add(deadline), Objective: now.Add(objective)}
}

// enqueueWithRetry enqueues a request as an entry node does: first for a prompt start and
// then, as if other gates had refused it too, allowing delay.
func enqueueWithRetry(m *Machine, r Request, now time.Time) (*Ticket, *verdict.Error) {
	ticket, refusal := m.Enqueue(r, now)
	if refusal != nil {
		r.AllowDelay = true
		ticket, refusal = m.Enqueue(r, now)
	}
	return ticket, refusal
}

// pollDecision returns whether a ticket was decided, and its refusal.
func pollDecision(t *Ticket) (bool, *verdict.Error) {
	select {
	case e := <-t.decision:
		return true, e
	default:
		return false, nil
	}
}

func TestNothingStartsBeforeTheServerIsUp(t *testing.T) {
	g := NewWithT(t)
	m := NewMachine(4, 10)
	ticket, refusal := m.Enqueue(request(start, time.Second, 2*time.Second), start)
	g.Expect(refusal).To(BeNil())
	m.Dispatch(start)
	g.Expect(pollDecision(ticket)).To(BeFalse())
	m.MarkUp(0, start)
	m.Dispatch(start)
	g.Expect(pollDecision(ticket)).To(BeTrue())
}

func TestRequestsForADownServerAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := NewMachine(4, 10)
	waiting, _ := m.Enqueue(request(start, time.Second, 2*time.Second), start)
	m.MarkDown()
	decided, refusal := pollDecision(waiting)
	g.Expect(decided).To(BeTrue())
	g.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
	_, refusal = m.Enqueue(request(start, time.Second, 2*time.Second), start)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonUnreachable))
}

func TestWaitingRequestsAreRefusedWhenTheServerLeaves(t *testing.T) {
	g := NewWithT(t)
	m := warmMachine(1)
	for range 2 {
		_, refusal := m.Enqueue(request(start, time.Second, 2*time.Second), start)
		g.Expect(refusal).To(BeNil())
	}
	m.Dispatch(start)
	waiting := m.waiting[0]
	m.SetClosed(true)
	decided, refusal := pollDecision(waiting)
	g.Expect(decided).To(BeTrue())
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonLeaving))
	g.Expect(m.running).To(Equal(1))
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	g := NewWithT(t)
	m := warmMachine(1)
	_, _ = m.Enqueue(request(start, time.Second, 2*time.Second), start)
	m.Dispatch(start)
	bulk, _ := m.Enqueue(Request{Class: "bulk", Priority: 2, Deadline: start.Add(time.Second), Objective: start.Add(500 * time.Millisecond)}, start)
	order, _ := m.Enqueue(Request{Class: "order", Priority: 1, Deadline: start.Add(2 * time.Second), Objective: start.Add(time.Second)}, start)
	m.Release()
	m.Dispatch(start)
	g.Expect(pollDecision(order)).To(BeTrue())
	g.Expect(pollDecision(bulk)).To(BeFalse())
}

// busyMachine returns a machine with its one slot taken and one waiting request.
func busyMachine(t *testing.T) *Machine {
	g := NewWithT(t)
	m := warmMachine(1)
	m.recordServiceTime("read", 100*time.Millisecond)
	for range 2 {
		_, refusal := enqueueWithRetry(m, request(start, time.Second, 2*time.Second), start)
		g.Expect(refusal).To(BeNil())
		m.Dispatch(start)
	}
	return m
}

func TestRequestWithoutAllowDelayUsesLittleOfItsSlack(t *testing.T) {
	g := NewWithT(t)
	m := busyMachine(t)
	r := request(start, 500*time.Millisecond, time.Second)
	_, refusal := m.Enqueue(r, start)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
	r.AllowDelay = true
	_, refusal = m.Enqueue(r, start)
	g.Expect(refusal).To(BeNil())
}

// When a server slows down under load, the service time of a long request comes close to
// its objective. If the permitted wait were a share of the remaining slack, long requests
// would be refused while short ones could still wait.
func TestLongRequestWaitsAsLongAsAShortOne(t *testing.T) {
	g := NewWithT(t)
	m := warmMachine(12)
	m.recordServiceTime("long", 320*time.Millisecond)
	m.recordServiceTime("short", 60*time.Millisecond)
	for range 12 {
		_, refusal := m.Enqueue(Request{Class: "short", Deadline: start.Add(time.Second), Objective: start.Add(400 * time.Millisecond)}, start)
		g.Expect(refusal).To(BeNil())
		m.Dispatch(start)
	}
	for _, class := range []string{"long", "short"} {
		ticket, refusal := m.Enqueue(Request{Class: class, Deadline: start.Add(time.Second), Objective: start.Add(400 * time.Millisecond)}, start)
		g.Expect(refusal).To(BeNil(), class)
		g.Expect(m.Withdraw(ticket)).To(BeTrue())
	}
}

func TestRequestWithPriorWorkWaits(t *testing.T) {
	g := NewWithT(t)
	m := busyMachine(t)
	r := request(start, 500*time.Millisecond, time.Second)
	r.HasPriorWork = true
	_, refusal := m.Enqueue(r, start)
	g.Expect(refusal).To(BeNil())
}

func TestStandingQueueReducesMaxWait(t *testing.T) {
	g := NewWithT(t)
	m := busyMachine(t)
	now := start.Add(5 * queuedShareTimeConstant)
	r := request(now, 500*time.Millisecond, time.Second)
	r.AllowDelay = true
	_, refusal := m.Enqueue(r, now)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
}

func TestHedgeGetsOnlySpareCapacity(t *testing.T) {
	g := NewWithT(t)
	m := warmMachine(2)
	r := request(start, time.Second, 2*time.Second)
	r.Hedge = true
	_, refusal := m.Enqueue(r, start)
	g.Expect(refusal).To(BeNil())
	full := busyMachine(t)
	_, refusal = full.Enqueue(r, start)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
}

// TestRandomSchedulesKeepSlotsAndColdRate runs random schedules: the slots and the cold rate
// hold at every moment, and each request is decided once.
func TestRandomSchedulesKeepSlotsAndColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		maxColdRate := float64(rapid.IntRange(1, 40).Draw(t, "max cold rate"))
		m := NewMachine(slots, maxColdRate)
		now := start
		m.MarkUp(time.Duration(rapid.IntRange(0, 5000).Draw(t, "cold"))*time.Millisecond, now)
		var started []time.Time
		var running, waiting []*Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := request(now, time.Duration(rapid.IntRange(1, 500).Draw(t, "objective"))*time.Millisecond, time.Second)
				r.AllowDelay = rapid.Bool().Draw(t, "settle")
				r.Nested = rapid.Bool().Draw(t, "nested")
				r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				if ticket, refusal := m.Enqueue(r, now); refusal == nil {
					waiting = append(waiting, ticket)
				}
			case 2:
				if len(running) > 0 {
					m.Done(running[0], now.Sub(running[0].startedAt), false)
					running = running[1:]
				}
			case 3:
				if rapid.IntRange(0, 20).Draw(t, "extend cold") == 0 {
					m.ExtendCold(now.Add(time.Second))
					started = nil // only later starts are counted, also if the server was still cold
				}
			}
			m.Dispatch(now)
			undecided := waiting[:0]
			for _, w := range waiting {
				decided, refusal := pollDecision(w)
				switch {
				case !decided:
					undecided = append(undecided, w)
				case refusal == nil:
					running = append(running, w)
					if m.cold(now) {
						started = append(started, now)
					}
				}
			}
			waiting = undecided
			if len(running) > slots || m.running != len(running) {
				t.Fatalf("%d running, %d counted, %d slots", len(running), m.running, slots)
			}
			checkColdBound(t, started, maxColdRate)
		}
	})
}

// checkColdBound checks that no second has more starts than the bound.
func checkColdBound(t *rapid.T, started []time.Time, maxColdRate float64) {
	for i := range started {
		n := 0
		for _, at := range started[i:] {
			if at.Sub(started[i]) < time.Second {
				n++
			}
		}
		if limit := int(math.Max(maxColdRate, 1)); n > limit {
			t.Fatalf("%d starts within a second, limit %d", n, limit)
		}
	}
}

// workload is a load on one server, simulated in virtual time.
type workload struct {
	slots     int
	service   time.Duration
	every     time.Duration // between arrivals
	length    time.Duration
	objective time.Duration
	deadline  time.Duration
	// coldFor is how long the server is cold from the start.
	coldFor time.Duration
	// maxColdRate is the number of requests that the server may get in any second while
	// it is cold.
	maxColdRate float64
}

// outcome counts the results of a workload's requests.
type outcome struct {
	onTime, late, refused int
	// lateRefusals counts the refusals that came more than an eighth of the objective
	// after the request.
	lateRefusals int
}

// simulate runs a workload through a machine. Service times vary by up to a quarter
// around the mean.
func simulate(p workload) outcome {
	random := rand.New(rand.NewPCG(1, 2))
	m := NewMachine(p.slots, p.maxColdRate)
	m.MarkUp(p.coldFor, start)
	type run struct {
		ticket *Ticket
		ends   time.Time
	}
	var out outcome
	var running []run
	type waiter struct {
		ticket    *Ticket
		arrivedAt time.Time
	}
	var waiting []waiter
	next := start
	for now := start; now.Before(start.Add(p.length + p.deadline)); now = now.Add(time.Millisecond) {
		kept := running[:0]
		for _, r := range running {
			if now.Before(r.ends) {
				kept = append(kept, r)
				continue
			}
			m.Done(r.ticket, now.Sub(r.ticket.startedAt), false)
			if now.After(r.ticket.request.Objective) {
				out.late++
			} else {
				out.onTime++
			}
		}
		running = kept
		for !now.Before(next) && next.Before(start.Add(p.length)) {
			next = next.Add(p.every)
			r := request(now, p.objective, p.deadline)
			ticket, refusal := enqueueWithRetry(m, r, now)
			if refusal != nil {
				out.refused++
				continue
			}
			waiting = append(waiting, waiter{ticket, now})
		}
		m.Dispatch(now)
		undecided := waiting[:0]
		for _, w := range waiting {
			decided, refusal := pollDecision(w.ticket)
			switch {
			case !decided:
				undecided = append(undecided, w)
			case refusal == nil:
				took := time.Duration((0.75 + random.Float64()/2) * float64(p.service))
				running = append(running, run{w.ticket, now.Add(took)})
			default:
				out.refused++
				if now.Sub(w.arrivedAt) > p.objective/8 {
					out.lateRefusals++
				}
			}
		}
		waiting = undecided
	}
	return out
}

// Under twice the server's capacity for 10 seconds, a queue in order of arrival would
// make every request late. At least 80% of what the slots can serve must be on time.
func TestBurstOfTwiceTheCapacityIsServedOnTime(t *testing.T) {
	g := NewWithT(t)
	p := workload{
		slots: 9, service: 160 * time.Millisecond, every: 9 * time.Millisecond, length: 10 * time.Second,
		objective: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, maxColdRate: 11 * 1.5,
	}
	o := simulate(p)
	capacity := int(p.length/p.service) * p.slots
	g.Expect(o.onTime).To(BeNumerically(">=", capacity*8/10), "%+v of %d", o, capacity)
	g.Expect(o.lateRefusals).To(BeNumerically("<=", capacity/10), "%+v", o)
}

// All servers restart cold after a power loss and get more than twice their cold
// capacity. The first requests must not fill the slots with late work.
func TestColdRestartServesTheColdRateOnTime(t *testing.T) {
	g := NewWithT(t)
	const rate, overshoot = 11, 1.5 // requests a second, and the permitted multiple
	p := workload{
		slots: 9, service: 320 * time.Millisecond, every: 40 * time.Millisecond, length: 3 * time.Second,
		objective: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, coldFor: 3 * time.Second, maxColdRate: rate * overshoot,
	}
	o := simulate(p)
	coldCapacity := int(rate * p.length.Seconds())
	g.Expect(o.onTime).To(BeNumerically(">=", coldCapacity*8/10), "%+v of %d", o, coldCapacity)
	g.Expect(o.lateRefusals).To(BeNumerically("<=", coldCapacity/5), "%+v", o)
}

// Small servers all restart cold after a power loss. Their slots could serve the load. The
// platform permits rate*overshoot plus a fixed allowance of 10 requests a second. For small
// servers the allowance is most of the limit: without it, half of the requests were refused
// for three seconds.
func TestColdRestartOfSmallServersUsesTheFixedAllowance(t *testing.T) {
	g := NewWithT(t)
	const rate, overshoot, allowance = 5.7, 1.5, 10 // requests a second
	p := workload{
		slots: 7, service: 400 * time.Millisecond, every: 75 * time.Millisecond, length: 3 * time.Second,
		objective: time.Second, deadline: 2500 * time.Millisecond, coldFor: 3 * time.Second, maxColdRate: rate*overshoot + allowance,
	}
	o := simulate(p)
	arrivals := int(p.length / p.every)
	g.Expect(o.onTime).To(BeNumerically(">=", arrivals*9/10), "%+v of %d", o, arrivals)
}

// Every host has lost its power, so that every server is cold and each start counts. A
// server must get nearly what the platform permits, and never more in any second.
func TestColdServersGetNearlyThePermittedRate(t *testing.T) {
	for _, permitted := range []float64{11*1.5 + 8, 13*1.5 + 5, 5.7*1.5 + 10} {
		g := NewWithT(t)
		m := warmMachine(18)
		m.SetLimits(18, permitted)
		m.MarkUp(3*time.Second, start)
		var starts []time.Time
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(time.Millisecond) {
			ticket, refusal := m.Enqueue(request(now, time.Second, 2500*time.Millisecond), now)
			m.Dispatch(now)
			if refusal != nil {
				continue
			}
			if decided, refusal := pollDecision(ticket); decided && refusal == nil {
				starts = append(starts, now)
				m.Release()
			} else {
				m.Withdraw(ticket)
			}
		}
		inFirstSecond := 0
		for i, from := range starts {
			in := 0
			for _, at := range starts[i:] {
				if at.Sub(from) < time.Second {
					in++
				}
			}
			g.Expect(float64(in)).To(BeNumerically("<=", permitted))
			if i == 0 {
				inFirstSecond = in
			}
		}
		g.Expect(float64(inFirstSecond)).To(BeNumerically(">=", 0.85*permitted))
	}
}

// 30 lookups of 10 ms each with an objective of 100 ms wait for 6 slots. All can finish
// in time, so none may be refused.
func TestShortRequestsAreNotRefusedForQueueLength(t *testing.T) {
	g := NewWithT(t)
	m := warmMachine(6)
	m.recordServiceTime("read", 10*time.Millisecond)
	for range 6 + 30 {
		_, refusal := enqueueWithRetry(m, request(start, 100*time.Millisecond, 250*time.Millisecond), start)
		g.Expect(refusal).To(BeNil())
		m.Dispatch(start)
	}
}
