package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/verdict"
)

// burstMachine returns a machine whose slots are taken and whose queue is full of callers'
// requests of 210 ms with an objective of 1.2 s, rank 3.
func burstMachine(g *WithT, slots int) (*Machine, Request) {
	m := warmMachine(slots)
	m.recordServiceTime("bulk", 210*time.Millisecond)
	m.recordServiceTime("status", 40*time.Millisecond)
	bulk := Request{Class: "bulk", Priority: 3, Objective: start.Add(1200 * time.Millisecond), Deadline: start.Add(4 * time.Second), AllowDelay: true}
	for refused := false; !refused; {
		_, refusal := m.Enqueue(bulk, start)
		refused = refusal != nil
		m.Dispatch(start)
	}
	g.Expect(m.running).To(Equal(slots))
	return m, bulk
}

func call(rank int, now time.Time) Request {
	return Request{Class: "status", Nested: true, Priority: rank, Objective: now.Add(150 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
}

// Guards against calls of running requests that are refused because a burst of new work
// fills the queue: they are accepted at once and start first, the more urgent ones before
// the others, and calls of runs with answered calls before those.
func TestNestedCallsGoBeforeAFullQueueOfNewWork(t *testing.T) {
	g := NewWithT(t)
	m, _ := burstMachine(g, 14)
	first, refusal := m.Enqueue(call(2, start), start)
	g.Expect(refusal).To(BeNil())
	urgent, refusal := m.Enqueue(call(1, start), start)
	g.Expect(refusal).To(BeNil())
	later := call(2, start)
	later.HasPriorWork = true
	second, refusal := m.Enqueue(later, start)
	g.Expect(refusal).To(BeNil())
	for _, want := range []*Ticket{urgent, second, first} {
		m.Release()
		m.Dispatch(start.Add(time.Millisecond))
		g.Expect(pollDecision(want)).To(BeTrue())
	}
}

// A called service that is saturated by calls still serves new work that is as urgent, and a
// call whose refusal would waste its run waits past its objective.
func TestNewWorkAsUrgentAsCallsWaitsForThemShortly(t *testing.T) {
	g := NewWithT(t)
	m, bulk := burstMachine(g, 1)
	for range queuePerSlot {
		r := call(3, start)
		r.AllowDelay, r.HasPriorWork, r.Deadline = true, true, start.Add(2*time.Second)
		_, refusal := m.Enqueue(r, start)
		g.Expect(refusal).To(BeNil())
	}
	oldest := m.waiting[0]
	g.Expect(oldest.request.Nested).To(BeFalse())
	yielded := start.Add(time.Duration(yieldShare * float64(bulk.Objective.Sub(start))))
	g.Expect(m.waiting[m.next(start)].request.Nested).To(BeTrue())
	g.Expect(m.waiting[m.next(yielded)]).To(BeIdenticalTo(oldest))
}

// A gate that begins to hold its requests, as when its server may have restarted, refuses a
// waiting call while other gates can still serve it.
func TestCallIsMovedOnFromAGateThatHoldsItsRequests(t *testing.T) {
	g := NewWithT(t)
	m, _ := burstMachine(g, 14)
	ticket, refusal := m.Enqueue(call(1, start), start)
	g.Expect(refusal).To(BeNil())
	m.Hold()
	held := start.Add(10 * time.Millisecond)
	g.Expect(m.Dispatch(held)).To(Equal(held.Add(maxHeldCallWait)))
	g.Expect(pollDecision(ticket)).To(BeFalse())
	m.Dispatch(held.Add(maxHeldCallWait))
	decided, refusal := pollDecision(ticket)
	g.Expect(decided).To(BeTrue())
	g.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
	_, refusal = m.Enqueue(call(1, held), held)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonCold))
}

// Guards against bodies that are transferred in vain: the check before the transfer counts the
// time for which the request lets calls go first, as the admission does.
func TestPrecheckCountsTheYieldToCalls(t *testing.T) {
	g := NewWithT(t)
	m := warmMachine(1)
	m.recordServiceTime("status", 80*time.Millisecond)
	_, refusal := m.Enqueue(call(1, start), start)
	g.Expect(refusal).To(BeNil())
	m.Dispatch(start)
	waiting := call(1, start)
	waiting.HasPriorWork, waiting.AllowDelay = true, true
	for range 2 {
		_, refusal = m.Enqueue(waiting, start)
		g.Expect(refusal).To(BeNil())
	}
	upload := Request{Class: "status", Priority: 1, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}
	g.Expect(m.Precheck(upload, 0, start)).NotTo(BeNil())
	_, refusal = m.Enqueue(upload, start)
	g.Expect(refusal).NotTo(BeNil())
}
