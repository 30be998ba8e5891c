package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/verdict"
)

// fullMachine returns a machine of two slots, both taken, whose requests take 100 ms.
func fullMachine(t *testing.T) (m *Machine, started []*Ticket) {
	m = warmMachine(2)
	for range 20 {
		m.recordServiceTime("read", 100*time.Millisecond)
	}
	for range 2 {
		ticket, refusal := m.Enqueue(request(start, time.Second, 2*time.Second), start)
		NewWithT(t).Expect(refusal).To(BeNil())
		started = append(started, ticket)
	}
	m.Dispatch(start)
	return m, started
}

// Guards against requests that wait at a server which has just become 2.5 times slower,
// until they are late, while other gates have free slots. Those that were started, would
// be on time anyway, or have prior work are not handed back.
func TestWaitingRequestsAreHandedBackWhenTheServerBecomesSlow(t *testing.T) {
	g := NewWithT(t)
	m, started := fullMachine(t)
	urgent, patient := request(start, 200*time.Millisecond, time.Second), request(start, 600*time.Millisecond, time.Second)
	called := urgent
	called.HasPriorWork = true
	var waiting []*Ticket
	for _, r := range []Request{urgent, patient, called} {
		r.AllowDelay = true
		ticket, refusal := m.Enqueue(r, start)
		g.Expect(refusal).To(BeNil())
		waiting = append(waiting, ticket)
	}
	m.RecordStated(110, start)
	g.Expect(m.waiting).To(HaveLen(3))
	m.RecordStated(250, start)
	decided, refusal := pollDecision(waiting[0])
	g.Expect(decided).To(BeTrue())
	g.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
	for _, kept := range waiting[1:] {
		g.Expect(pollDecision(kept)).To(BeFalse())
	}
	g.Expect(m.running).To(Equal(len(started)))
	m.RecordStated(260, start)
	g.Expect(m.waiting).To(HaveLen(2))
}

// The times of a cold server must not be taken for those of the warm one, and neither
// must failures, which often come at once.
func TestColdAndFailedRunsAreNoSamplesOfTheWarmServer(t *testing.T) {
	g := NewWithT(t)
	m, started := fullMachine(t)
	m.Done(started[0], time.Millisecond, true)
	g.Expect(m.expectedServiceTime("read", start)).To(Equal(100 * time.Millisecond))
	m.MarkUp(300*time.Millisecond, start)
	m.Done(started[1], 500*time.Millisecond, false) // began while the server was cold
	warm := start.Add(500 * time.Millisecond)
	g.Expect(m.expectedServiceTime("read", warm)).To(Equal(100 * time.Millisecond))
	for range 4 {
		ticket, _ := m.Enqueue(request(warm, time.Second, 2*time.Second), warm)
		m.Dispatch(warm)
		m.Done(ticket, 50*time.Millisecond, false)
	}
	g.Expect(m.expectedServiceTime("read", warm)).To(BeNumerically("<=", 60*time.Millisecond), "learned anew")
}

// Guards against a run that is wasted because its call was handed back after all other gates
// had refused it, although the call may end until its deadline.
func TestCallThatOtherGatesRefusedIsNotHandedBack(t *testing.T) {
	g := NewWithT(t)
	m, _ := fullMachine(t)
	r := request(start, 200*time.Millisecond, time.Second)
	r.Nested, r.AllowDelay = true, true
	ticket, refusal := m.Enqueue(r, start)
	g.Expect(refusal).To(BeNil())
	m.RecordStated(110, start)
	m.RecordStated(250, start)
	g.Expect(pollDecision(ticket)).To(BeFalse())
}

// Guards against a server that looks slow because runs are given up that wait for their calls.
func TestCallsOfAbandonedRunsAreNoWorkOfTheServer(t *testing.T) {
	g := NewWithT(t)
	m, started := fullMachine(t)
	started[0].observation.CallWait = 1950 * time.Millisecond
	m.Abandon(started[0], 2*time.Second)
	g.Expect(m.expectedServiceTime("read", start.Add(2*time.Second))).To(Equal(100 * time.Millisecond))
}
