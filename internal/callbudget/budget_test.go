package callbudget

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// scene is a load of one class of runs on a gate.
type scene struct {
	budget    *Budget
	perSecond int
	// callEvery is the interval, in runs, of those that make a call.
	callEvery int
	contended bool
	now       time.Time
	n         int
}

// play runs the scene for a time; the called service answers borne calls a second.
func (s *scene) play(length time.Duration, borne float64) (started, refused int) {
	capacity := 1.0
	step := time.Second / time.Duration(s.perSecond)
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		capacity = min(capacity+borne*step.Seconds(), 2)
		s.n++
		run, refusal := s.budget.Start(Request{Class: Class{Route: "visit"}, Contended: s.contended}, s.now)
		if refusal != nil {
			continue
		}
		started++
		if s.n%s.callEvery == 0 {
			call := Call{Service: "archive", Refused: capacity < 1, RetryAfter: 200 * time.Millisecond}
			if call.Refused {
				refused++
			} else {
				capacity--
			}
			run.RecordCall(call, s.now.Add(step/2))
		}
		run.End(s.now.Add(step / 2))
	}
	return started, refused
}

// Guards against a limit that stays after the called service has recovered, and against runs
// that are wasted while it is gone: all but a trickle are refused, and seven seconds after
// its return all runs start.
func TestCalledServiceIsGoneAndReturns(t *testing.T) {
	g := NewWithT(t)
	s := &scene{budget: New(true), perSecond: 50, callEvery: 1, now: start}
	s.play(5*time.Second, 1000)
	_, wasted := s.play(10*time.Second, 0)
	g.Expect(wasted).To(BeNumerically("<", 50), "of 500 runs")
	s.play(7*time.Second, 1000)
	started, _ := s.play(2*time.Second, 1000)
	g.Expect(started).To(Equal(100))
	g.Expect(s.budget.Totals(s.now).Limited).To(BeZero())
}

// A refusal states when the called service has capacity.
func TestRefusalStatesWhenTheCalledServiceHasCapacity(t *testing.T) {
	g := NewWithT(t)
	s := &scene{budget: New(true), perSecond: 50, callEvery: 1, now: start}
	s.play(3*time.Second, 0)
	_, refusal := s.budget.Start(Request{Class: Class{Route: "visit"}}, s.now)
	g.Expect(refusal.Service).To(Equal("archive"))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">=", minRetryAfter))
	g.Expect(refusal.RetryAfter).To(BeNumerically("<=", maxRetryAfter))
	run, _ := s.budget.Start(Request{Class: Class{Route: "visit"}, Nested: true}, s.now)
	g.Expect(run).NotTo(BeNil(), "a nested call is not refused")
}

// Guards against the loss of runs that need no call: the called service is gone, and runs of
// which few make calls, or of which half do and no other request needs the slots, start.
func TestRunsThatMayNeedNoCallAreStarted(t *testing.T) {
	g := NewWithT(t)
	rare := &scene{budget: New(true), perSecond: 100, callEvery: 50, contended: true, now: start}
	started, _ := rare.play(20*time.Second, 0)
	g.Expect(started).To(Equal(2000))
	half := &scene{budget: New(true), perSecond: 100, callEvery: 2, now: start}
	started, _ = half.play(10*time.Second, 0)
	g.Expect(started).To(BeNumerically(">=", 950))
}

// A server of another version makes no calls any more: the limit must end without them.
func TestLimitEndsWhenRunsMakeNoCalls(t *testing.T) {
	g := NewWithT(t)
	s := &scene{budget: New(true), perSecond: 50, callEvery: 1, now: start}
	s.play(3*time.Second, 0)
	s.callEvery = 1 << 30
	s.play(8*time.Second, 0)
	g.Expect(s.budget.Totals(s.now).Limited).To(BeZero())
}

// The state is bounded, no run is refused without a refused call, and a limit never stops
// all runs of a class, whatever the calls do.
func TestBudgetIsBoundedAndNeverStopsARoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, refusedCall := New(true), start, false
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			key := Class{Route: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "route") * (i + 1))}
			run, refusal := b.Start(Request{Class: key, Contended: true}, now)
			if refusal != nil && (!refusedCall || refusal.RetryAfter <= 0) {
				t.Fatalf("refused without a refused call: %+v", refusal)
			}
			if refusal == nil {
				refused := rapid.Bool().Draw(t, "refused")
				run.RecordCall(Call{Service: fmt.Sprint(i), Refused: refused}, now)
				run.End(now)
				refusedCall = refusedCall || refused
			}
		}
		c, _ := b.classes.Peek(Class{Route: "0"})
		if b.classes.Len() > maxClasses || c != nil && len(c.services) > maxServices {
			t.Fatal("state is not bounded")
		}
		if _, refusal := b.Start(Request{Class: Class{Route: "0"}, Contended: true}, now.Add(time.Second)); refusal != nil {
			t.Fatalf("refused after a second without a run: %+v", refusal)
		}
	})
}

// Guards against runs beyond the limit that leave room for one more when they are taken back:
// calls that start always, and are then refused for lack of a slot, would lift the limit.
func TestRunBeyondTheLimitReturnsNothingToIt(t *testing.T) {
	g := NewWithT(t)
	s := &scene{budget: New(true), perSecond: 50, callEvery: 1, now: start}
	s.play(3*time.Second, 0)
	var refusal *Refusal
	for refusal == nil {
		_, refusal = s.budget.Start(Request{Class: Class{Route: "visit"}}, s.now)
	}
	for range 10 {
		run, _ := s.budget.Start(Request{Class: Class{Route: "visit"}, Nested: true}, s.now)
		run.Withdraw(s.now)
	}
	_, refusal = s.budget.Start(Request{Class: Class{Route: "visit"}}, s.now)
	g.Expect(refusal).NotTo(BeNil())
}
