package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

func limitOf(perSecond float64) contract.RateLimit {
	return contract.RateLimit{Stated: true, PerSecond: perSecond}
}

// limitedMachine is a machine with many slots whose server states a limit.
func limitedMachine(perSecond float64) *Machine {
	m := warmMachine(64)
	m.SetRateLimit(limitOf(perSecond), start)
	return m
}

// Guards against more starts than a stated limit permits: in any window of 4 seconds at
// most one and a half times the highest limit in force, and 5 more, whatever limits the
// server states one after the other, health checks included.
func TestStartsKeepAMovingLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, overshoot, slack = 4 * time.Second, 1.5, 5
		// Draws of rapid favor small values, which would change the limit all the time.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := limitedMachine(1)
		now := start
		type event struct {
			at    time.Time
			limit float64 // in force from then on, of events that change it
			start bool
		}
		var events []event
		setLimit := func() {
			limit := []float64{0, 0.01, 0.3, 1, 6.4, 30, 1e12}[random.IntN(7)]
			m.SetRateLimit(limitOf(limit), now)
			events = append(events, event{at: now, limit: limit})
		}
		setLimit()
		var running []*Ticket
		for range 1000 {
			now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
			switch random.IntN(150) {
			case 0:
				setLimit()
			case 1:
				if last := events[len(events)-1]; now.Sub(last.at) > window {
					m.RecordHealthCheck(now)
					events = append(events, event{at: now, start: true})
				}
			default:
				r := request(now, time.Second, 2*time.Second)
				r.AllowDelay, r.Priority = true, random.IntN(4)
				if ticket, refusal := m.Enqueue(r, now); refusal == nil {
					running = append(running, ticket)
				}
			}
			m.Dispatch(now)
			undecided := running[:0]
			for _, ticket := range running {
				decided, refusal := pollDecision(ticket)
				switch {
				case !decided:
					undecided = append(undecided, ticket)
				case refusal == nil:
					m.Release()
					events = append(events, event{at: now, start: true})
				}
			}
			running = undecided
		}
		for last := range events {
			if !events[last].start {
				continue
			}
			count, highest := 0, 0.0
			for i := last; i >= 0; i-- {
				if !events[i].start {
					highest = max(highest, events[i].limit)
				}
				if events[last].at.Sub(events[i].at) >= window {
					if !events[i].start {
						break // this limit was in force at the start of the window
					}
					continue
				}
				if events[i].start {
					count++
				}
			}
			if permitted := overshoot*highest*window.Seconds() + slack; float64(count) > permitted {
				t.Fatalf("%d starts in a window, %.1f permitted", count, permitted)
			}
		}
	})
}

// Guards against a limit that lies idle: with enough requests, a server gets nearly all
// that it accepts.
func TestStartsUseTheWholeLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 3.2, 26.9} {
		g := NewWithT(t)
		m := limitedMachine(limit)
		const length = 20 * time.Second
		starts := 0
		for now := start; now.Before(start.Add(length)); now = now.Add(5 * time.Millisecond) {
			ticket, refusal := m.Enqueue(request(now, time.Second, 2*time.Second), now)
			m.Dispatch(now)
			if refusal != nil {
				continue
			}
			if decided, refusal := pollDecision(ticket); decided && refusal == nil {
				starts++
				m.Release()
			} else {
				m.Withdraw(ticket)
			}
		}
		g.Expect(float64(starts)).To(BeNumerically(">=", 0.95*limit*length.Seconds()), "limit %v", limit)
	}
}

// Guards against a limit that is used up by requests that matter least: at twice the
// limit, nearly all urgent requests are served that need half of it and can't wait long.
func TestUrgentRequestsGetTheLimitFirst(t *testing.T) {
	for _, limit := range []float64{2, 6, 10, 40} {
		g := NewWithT(t)
		m := limitedMachine(limit)
		const length, tick = 60 * time.Second, 5 * time.Millisecond
		served, sent := map[int]int{}, map[int]int{}
		waiting := map[*Ticket]bool{}
		random := rand.New(rand.NewPCG(1, 2))
		for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
			for priority, rate := range []float64{0.4 * limit, 1.6 * limit} {
				if random.Float64() < rate*tick.Seconds() {
					sent[priority]++
					r := request(now, 200*time.Millisecond, 500*time.Millisecond)
					r.Priority, r.AllowDelay = priority, true
					if ticket, refusal := m.Enqueue(r, now); refusal == nil {
						waiting[ticket] = true
					}
				}
			}
			m.Dispatch(now)
			for ticket := range waiting {
				if decided, refusal := pollDecision(ticket); decided {
					delete(waiting, ticket)
					if refusal == nil {
						served[ticket.request.Priority]++
						m.Release()
					}
				}
			}
		}
		t.Logf("limit %v: served %v of %v", limit, served, sent)
		g.Expect(served[0]).To(BeNumerically(">=", sent[0]*9/10), "limit %v", limit)
		// What the urgent requests leave is not wasted.
		g.Expect(float64(served[0]+served[1])).To(BeNumerically(">=", 0.9*limit*length.Seconds()), "limit %v", limit)
	}
}

// Guards against a Retry-After before the limit permits a start.
func TestRetryAfterAtALimitIsWhenARequestMayStart(t *testing.T) {
	g := NewWithT(t)
	m := limitedMachine(0.5)
	now := start
	_, refusal := m.Enqueue(request(now, time.Second, 2*time.Second), now) // takes the one token
	g.Expect(refusal).To(BeNil())
	m.Dispatch(now)
	_, refusal = m.Enqueue(request(now, time.Second, 2*time.Second), now)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
	g.Expect(refusal.RetryAfter).To(BeNumerically("~", 2*time.Second, time.Millisecond))
	now = now.Add(refusal.RetryAfter)
	ticket, refusal := m.Enqueue(request(now, time.Second, 2*time.Second), now)
	g.Expect(refusal).To(BeNil())
	m.Dispatch(now)
	decided, refusal := pollDecision(ticket)
	g.Expect(decided).To(BeTrue())
	g.Expect(refusal).To(BeNil())
}

// Guards against requests that wait for their deadline in the queue of a server that has
// lowered its limit so far that they can't start in time.
func TestWaitingRequestsAreRefusedAtOnceWhenTheLimitFalls(t *testing.T) {
	g := NewWithT(t)
	m := limitedMachine(10)
	var tickets []*Ticket
	for range 6 {
		r := request(start, time.Second, 2*time.Second)
		r.HasPriorWork = true
		ticket, refusal := m.Enqueue(r, start)
		g.Expect(refusal).To(BeNil())
		tickets = append(tickets, ticket)
	}
	m.Dispatch(start)
	m.SetRateLimit(limitOf(1), start)
	refused := 0
	for _, ticket := range tickets {
		if decided, refusal := pollDecision(ticket); decided && refusal != nil {
			refused++
			g.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
		}
	}
	g.Expect(refused).To(BeNumerically("==", 3), "one started and two start within two seconds")
}

// Guards against hedged requests that use up a limit.
func TestHedgeGetsNothingOfALimit(t *testing.T) {
	g := NewWithT(t)
	m := limitedMachine(100)
	r := request(start, time.Second, 2*time.Second)
	r.Hedge = true
	_, refusal := m.Enqueue(r, start)
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
}
