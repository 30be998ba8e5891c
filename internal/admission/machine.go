// Package admission decides when each request starts on one backend server. It runs
// beside that server. Since every request for the server passes through it, the limits on
// slots and on the cold start rate hold exactly.
//
// Machine makes the decisions without clocks or goroutines; Gate drives it.
package admission

import (
	"slices"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/serverspeed"
	"boragefall/internal/verdict"
)

const (
	// coldWindow is the window in which starts at a cold server are counted; the platform
	// states the cold rate per second.
	coldWindow = time.Second
	// coldMargin is the share of a cold server's rate that is used. The rest is left for
	// requests that arrive at the server closer together than they were sent.
	coldMargin = 0.9
	// queuePerSlot bounds the waiting requests, and with them memory. The expected wait
	// decides whether a request can finish in time.
	queuePerSlot = 8
	// minRetryAfter is the least Retry-After of a refusal: the time that the answer and a
	// new connection take.
	minRetryAfter = 50 * time.Millisecond
	// slotTurnoverFactor divides the expected wait to give the Retry-After of a refusal,
	// and the service time that must be left before a deadline. The result may be shorter
	// than the mean, since slots become free all the time.
	slotTurnoverFactor = 2
)

// Request describes a request to the machine.
type Request struct {
	// Class groups requests with similar service times.
	Class string
	// Priority is the rank; 0 goes first.
	Priority int
	// Deadline is the time after which an answer is useless.
	Deadline time.Time
	// Objective is the time by which an answer is most useful.
	Objective time.Time
	// AllowDelay reports that the caller prefers a wait or a late answer to a refusal.
	AllowDelay bool
	// Hedge reports that another server is already working on the request.
	Hedge bool
	// HasPriorWork reports that a refusal would waste work already done for the request.
	HasPriorWork bool
	// Nested reports that the request is a call of a running request (see nested.go).
	Nested bool
}

// Ticket is a request that was accepted into the queue.
type Ticket struct {
	request    Request
	enqueuedAt time.Time
	startedAt  time.Time
	// concurrency is the number of running requests and startedProgress the server's
	// progress at startedAt.
	concurrency     int
	startedProgress float64
	// observation is what the answer showed about the run.
	observation Observation
	// expectedLate reports that the request was expected to miss its objective when it
	// was accepted.
	expectedLate bool
	// yieldUntil is the time until which the ticket lets nested calls that are not more
	// urgent go first.
	yieldUntil time.Time
	// decision receives nil when the request may start, or the refusal.
	decision chan *verdict.Error
}

// Machine decides for one server. It is not safe for concurrent use.
type Machine struct {
	slots int
	// coldRate is the limit on starts in any second while the server is cold.
	coldRate float64
	running  int
	waiting  []*Ticket
	// starts holds the times of the starts within the last coldWindow.
	starts []time.Time
	// coldUntil is the latest known time at which the server becomes warm.
	coldUntil time.Time
	// held reports that no request may start until MarkUp is called.
	held bool
	// down reports that the server accepts no connections.
	down bool
	// closed reports that new requests are refused.
	closed bool
	// speed estimates the service times and the concurrency that the server handles well.
	speed *serverspeed.Estimator
	// speedHistory is what the machine tracks for the estimates.
	speedHistory speedHistory
	failureRate  movingMean
	queuedShare  queuedShare
	// callQueuedShare is the share of recent time in which nested calls were waiting.
	callQueuedShare queuedShare
	// heldSince is when the machine was first seen held; zero while it is not.
	heldSince time.Time
	// limiter holds the request limit that the server states.
	limiter rateLimiter
}

// NewMachine returns a machine that holds all requests until MarkUp is called.
func NewMachine(slots int, maxColdRate float64) *Machine {
	return &Machine{slots: max(slots, 1), coldRate: coldMargin * maxColdRate, held: true, speed: serverspeed.NewEstimator(slots)}
}

// Enqueue accepts a request into the queue or refuses it.
func (m *Machine) Enqueue(r Request, now time.Time) (*Ticket, *verdict.Error) {
	// Proof of NotRun for each refusal: only a ticket that was started leads to a send,
	// and this request gets no ticket.
	if m.closed {
		return nil, verdict.Refuse(verdict.ReasonLeaving, minRetryAfter)
	}
	if m.down {
		return nil, verdict.Refuse(verdict.ReasonUnreachable, minRetryAfter)
	}
	m.limiter.recordDemand(r.Priority, now)
	t := &Ticket{request: r, enqueuedAt: now, yieldUntil: yieldUntil(r, now), decision: make(chan *verdict.Error, 1)}
	wait := m.expectedWait(t, now)
	full := m.queueLength(r.Nested) >= queuePerSlot*m.slots
	refused := full || m.heldForCall(r) || wait > 0 && !m.acceptable(r, 0, wait, now) || r.Hedge && !m.hasSpareCapacity(wait, now)
	if refused {
		return nil, verdict.Refuse(m.busyReason(now), m.retryAfter(t, wait, now))
	}
	t.expectedLate = !r.Nested && wait > 0 && now.Add(wait+m.expectedServiceTime(r.Class, now)).After(r.Objective)
	m.waiting = append(m.waiting, t)
	return t, nil
}

// Precheck returns the refusal that a request would get if it arrived after delay, or
// nil. It does not enqueue the request.
func (m *Machine) Precheck(r Request, delay time.Duration, now time.Time) *verdict.Error {
	// Proof of NotRun: no ticket was issued.
	switch {
	case m.closed:
		return verdict.Refuse(verdict.ReasonLeaving, minRetryAfter)
	case m.down:
		return verdict.Refuse(verdict.ReasonUnreachable, minRetryAfter)
	}
	t := &Ticket{request: r, enqueuedAt: now, yieldUntil: yieldUntil(r, now)}
	wait := max(m.expectedWait(t, now)-delay, 0)
	if delay+wait > 0 && !m.acceptable(r, delay, wait, now) {
		return verdict.Refuse(m.busyReason(now), m.retryAfter(t, delay+wait, now))
	}
	return nil
}

// Dispatch starts the requests that may start and refuses those that can no longer finish
// in time. It returns when to call it again, or the zero time if only an event can change
// the result.
func (m *Machine) Dispatch(now time.Time) time.Time {
	m.relearnWhenWarm(now)
	m.refuseExpired(now)
	callsMoveAt := m.moveCallsOn(now)
	permitted := m.speed.Permitted(now)
	for len(m.waiting) > 0 && !m.held && !m.closed && m.running < permitted {
		next := m.next(now)
		if at := later(m.nextColdStart(now), now.Add(m.limiter.wait(m.waiting[next].request, 0, now))); at.After(now) {
			return at
		}
		t := m.remove(next)
		m.running++
		m.beginRun(t, now)
		m.recordStart(now)
		t.decision <- nil
	}
	m.queuedShare.record(len(m.waiting) > 0, now)
	m.callQueuedShare.record(m.queueLength(true) > 0, now)
	return callsMoveAt
}

// Done ends a started ticket. failed reports that the server failed to serve the request.
func (m *Machine) Done(t *Ticket, elapsed time.Duration, failed bool) {
	m.failureRate.add(indicator(failed))
	m.endRun(t, elapsed, failed)
	m.running--
}

// Abandon ends a started ticket whose request was given up. The elapsed time without that of
// the run's calls is a lower bound of the service time.
func (m *Machine) Abandon(t *Ticket, elapsed time.Duration) {
	m.running--
	now := t.startedAt.Add(elapsed)
	elapsed -= min(t.observation.CallWait, elapsed)
	if elapsed > m.expectedServiceTime(t.request.Class, now) {
		m.recordServiceTime(t.request.Class, time.Duration(float64(elapsed)*m.speed.Speed(now)))
	}
}

// Release ends a started ticket that was never sent.
func (m *Machine) Release() {
	m.running--
}

// Withdraw removes a waiting ticket. It returns false if the ticket is already decided.
func (m *Machine) Withdraw(t *Ticket) bool {
	for i, w := range m.waiting {
		if w == t {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Hold keeps new requests from starting until MarkUp is called.
func (m *Machine) Hold() {
	m.held = true
}

// MarkDown records that the server accepts no connections. Waiting requests, and new ones
// until MarkUp is called, are refused.
func (m *Machine) MarkDown() {
	m.held, m.down = true, true
	m.refuseWaiting(verdict.ReasonUnreachable)
}

// MarkUp records that the server is up, and for how long it will be cold.
func (m *Machine) MarkUp(coldFor time.Duration, now time.Time) {
	m.held, m.down = false, false
	m.coldUntil = now.Add(coldFor)
	m.speedHistory.cold = m.speedHistory.cold || coldFor > 0
}

// ExtendCold moves the end of the cold period to a later time.
func (m *Machine) ExtendCold(at time.Time) {
	if at.After(m.coldUntil) {
		m.coldUntil = at
		m.speedHistory.cold = true
	}
}

// SetLimits sets the server's slots and the number of requests that it may get in any
// second while it is cold.
func (m *Machine) SetLimits(slots int, maxColdRate float64) {
	if slots > 0 {
		m.slots = slots
		m.speed.SetSlots(slots)
	}
	if maxColdRate > 0 {
		m.coldRate = coldMargin * maxColdRate
	}
}

// SetClosed refuses waiting and new requests, or admits new ones again.
func (m *Machine) SetClosed(closed bool) {
	m.closed = closed
	if closed {
		m.refuseWaiting(verdict.ReasonLeaving)
	}
}

func (m *Machine) refuseWaiting(reason verdict.Reason) {
	for _, t := range m.waiting {
		t.decision <- verdict.Refuse(reason, minRetryAfter)
	}
	m.waiting = nil
}

// refuseExpired refuses the waiting requests that can't finish in time. Under overload it
// also refuses those that were expected to miss their objective when they were accepted.
func (m *Machine) refuseExpired(now time.Time) {
	if len(m.waiting) == 0 {
		return
	}
	overloaded := m.overloaded(now)
	class := m.waiting[0].request.Class
	serviceTime := m.expectedServiceTime(class, now)
	m.refuseWaitingIf(func(t *Ticket, _ int) bool {
		if t.request.Class != class {
			class = t.request.Class
			serviceTime = m.expectedServiceTime(class, now)
		}
		return now.Add(serviceTime/slotTurnoverFactor).After(t.request.Deadline) || overloaded && t.expectedLate
	}, now)
}

// refuseWaitingIf refuses the waiting requests for which condition is true. ahead is the
// number of requests kept before t.
func (m *Machine) refuseWaitingIf(condition func(t *Ticket, ahead int) bool, now time.Time) {
	kept := m.waiting[:0]
	var refused []*Ticket
	for _, t := range m.waiting {
		if condition(t, len(kept)) {
			refused = append(refused, t)
		} else {
			kept = append(kept, t)
		}
	}
	clear(m.waiting[len(kept):])
	m.waiting = kept
	for _, t := range refused {
		t.decision <- verdict.Refuse(m.busyReason(now), m.retryAfter(t, 0, now))
	}
}

// SetRateLimit sets the request limit that the server states. Waiting requests that can
// no longer finish in time are refused at once.
func (m *Machine) SetRateLimit(limit contract.RateLimit, now time.Time) {
	m.limiter.set(limit, now)
	if !limit.Stated {
		return
	}
	m.sortWaiting()
	m.refuseWaitingIf(func(t *Ticket, ahead int) bool {
		finish := now.Add(m.limiter.wait(t.request, ahead, now) + m.expectedServiceTime(t.request.Class, now)/slotTurnoverFactor)
		return finish.After(t.request.Deadline)
	}, now)
}

// sortWaiting puts the waiting requests into the order in which they start.
func (m *Machine) sortWaiting() {
	slices.SortFunc(m.waiting, func(a, b *Ticket) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
}

// RecordHealthCheck counts a health check, which the server counts as a request.
func (m *Machine) RecordHealthCheck(now time.Time) {
	m.limiter.recordStart(now)
}

// GrantStart permits one request beyond the server's limit.
func (m *Machine) GrantStart(now time.Time) {
	m.limiter.grant(now)
}

// first returns the index of the first waiting request: nested calls, then by priority, then
// those expected to meet their objective, then in order of arrival.
func (m *Machine) first() int {
	best := 0
	for i := 1; i < len(m.waiting); i++ {
		if before(m.waiting[i], m.waiting[best]) {
			best = i
		}
	}
	return best
}

func (m *Machine) remove(i int) *Ticket {
	t := m.waiting[i]
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
	return t
}

func before(a, b *Ticket) bool {
	if a.request.Nested != b.request.Nested {
		return a.request.Nested
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if a.request.Nested && a.request.HasPriorWork != b.request.HasPriorWork {
		return a.request.HasPriorWork
	}
	if a.expectedLate != b.expectedLate {
		return b.expectedLate
	}
	return a.enqueuedAt.Before(b.enqueuedAt)
}

// waitBehind estimates how long a new request waits behind a number of requests that go
// before it.
func (m *Machine) waitBehind(t *Ticket, ahead int, now time.Time) time.Duration {
	wait := m.limiter.wait(t.request, ahead, now)
	wait = max(wait, m.turnoverWait(ahead, now))
	if m.cold(now) && m.coldRate > 0 {
		wait = max(wait, max(m.nextColdStart(now).Sub(now), 0)+time.Duration(float64(ahead)/m.coldRate*float64(time.Second)))
	}
	return wait
}

func (m *Machine) cold(now time.Time) bool {
	return now.Before(m.coldUntil)
}

// nextColdStart returns when a cold server may start one more request. It allows at most
// the cold rate in any window and spaces the starts within it.
func (m *Machine) nextColdStart(now time.Time) time.Time {
	if !m.cold(now) || m.coldRate <= 0 {
		return now
	}
	m.pruneStarts(now)
	at := now
	if n := len(m.starts); n > 0 {
		gap := time.Duration(float64(coldWindow) / m.coldRate / 2)
		at = later(at, m.starts[n-1].Add(gap))
		if limit := max(int(m.coldRate), 1); n >= limit {
			at = later(at, m.starts[n-limit].Add(coldWindow))
		}
	}
	return at
}

func (m *Machine) recordStart(now time.Time) {
	m.limiter.recordStart(now)
	m.pruneStarts(now)
	m.starts = append(m.starts, now)
}

func (m *Machine) pruneStarts(now time.Time) {
	for len(m.starts) > 0 && now.Sub(m.starts[0]) >= coldWindow {
		m.starts = m.starts[1:]
	}
}

func (m *Machine) busyReason(now time.Time) verdict.Reason {
	if m.held || m.cold(now) {
		return verdict.ReasonCold
	}
	return verdict.ReasonOverloaded
}

// retryAfter returns when a refused request that would wait may be sent again. A stated
// limit permits nothing sooner, unlike slots, which become free all the time.
func (m *Machine) retryAfter(t *Ticket, wait time.Duration, now time.Time) time.Duration {
	wait = max(wait/slotTurnoverFactor, minRetryAfter)
	if !m.limiter.limit.Stated {
		return wait
	}
	return max(wait, m.limiter.wait(t.request, m.ahead(t, now), now))
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
