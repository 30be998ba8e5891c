package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

const (
	// rankWorthRequests is the difference in used service time that one rank makes up
	// for, in mean requests.
	rankWorthRequests = 8
	// reservedSlots is the number of slots that one caller can't take while another
	// caller has requested a slot within reserveWindow.
	reservedSlots = 1
	reserveWindow = 10 * time.Second
	// defaultServiceTime is the service time assumed until one is measured.
	defaultServiceTime = 10 * time.Millisecond
)

// precheck returns the error for a new request that must not even be queued, or nil.
func (g *Gate) precheck(ctx context.Context, r Request, deadline, now time.Time) error {
	if g.leaving {
		return g.refuse(verdict.ReasonLeaving, now)
	}
	if ctx.Err() != nil {
		return g.refuse(verdict.ReasonCanceled, now)
	}
	if !deadline.IsZero() && !now.Before(deadline) {
		return g.refuse(verdict.ReasonDeadline, now)
	}
	if r.ReportedCrashes == 0 && g.quarantine.empty() {
		return nil
	}
	if remaining := g.quarantine.quarantinedFor(r.Fingerprint, now); remaining > 0 {
		return g.refuseQuarantined(remaining)
	}
	if g.quarantine.recordReported(r.Fingerprint, r.ReportedCrashes, now) {
		return g.refuseQuarantined(g.cfg.UnconfirmedQuarantineFor)
	}
	return nil
}

// refuse returns the error for a request that holds no permit.
func (g *Gate) refuse(reason verdict.Reason, now time.Time) error {
	// Proof of NotRun: only the holder of a permit sends to the server, and this attempt
	// was given none.
	return verdict.Refuse(reason, g.retryAfter(now))
}

// refuseQuarantined returns the error for a quarantined request. remaining is the time
// until the quarantine ends.
func (g *Gate) refuseQuarantined(remaining time.Duration) error {
	// Proof of NotRun: this attempt was given no permit. Earlier attempts did run; their
	// own answers carry the verdicts for them.
	return verdict.Refuse(verdict.ReasonQuarantined, min(remaining, g.cfg.MaxRetryAfter))
}

// busyReason returns the reason why no slot is free.
func (g *Gate) busyReason() verdict.Reason {
	if g.limiter.warm && g.limiter.probation == 0 {
		return verdict.ReasonOverloaded
	}
	return verdict.ReasonCold
}

// retryAfter estimates when a slot will be free for a request that is refused now. The
// jitter keeps refused callers from retrying together.
func (g *Gate) retryAfter(now time.Time) time.Duration {
	ahead := g.running.count + g.waiting() + 1
	estimate := time.Duration(ahead) * g.occupancy.get() / time.Duration(g.limiter.current(now))
	jittered := estimate/2 + rand.N(estimate+g.cfg.MinRetryAfter)
	return min(max(jittered, g.cfg.MinRetryAfter), g.cfg.MaxRetryAfter)
}

// startIdleProbation puts the server on probation if nothing has run on it for IdleAfter,
// since a restart in that time would not have been noticed.
func (g *Gate) startIdleProbation(now time.Time) {
	if g.running.count > 0 || g.lastEnded.IsZero() || now.Sub(g.lastEnded) < g.cfg.IdleAfter {
		return
	}
	if g.limiter.limit > g.cfg.Service.ColdLimit && g.limiter.probation == 0 {
		g.limiter.startProbation(causeIdle)
	}
}

// hasCapacity reports whether a request that is not suspect may start now.
func (g *Gate) hasCapacity(now time.Time) bool {
	if g.running.overdue(now, g.limiter.epoch) {
		g.limiter.handleAlarm(causeOverdue)
	}
	return g.running.count < g.isolation.limit(g.limiter.current(now))
}

// reserve returns the number of slots that one caller leaves to the others, so that its
// long requests can't lock them out. A server that is cold or on probation has no
// reserve: it has to be tested at its whole limit, which may be 1.
func (g *Gate) reserve(now time.Time) int {
	if g.limiter.state() == host.StateWarm && g.limiter.current(now) > reservedSlots {
		return reservedSlots
	}
	return 0
}

// mayStart reports whether a caller may take another slot. The reserve applies only while
// other callers send requests.
func (g *Gate) mayStart(acc *account, now time.Time) bool {
	reserve := g.reserve(now)
	if reserve == 0 || acc.running < g.limiter.current(now)-reserve {
		return true
	}
	return !g.accounts.otherCallerSince(acc, now.Add(-reserveWindow))
}

// start creates a permit and charges the account for it.
func (g *Gate) start(r Request, acc *account, now time.Time) *Permit {
	g.sequence++
	p := &Permit{
		gate: g, request: r, account: acc, started: now, charged: g.meanSeconds(),
		sequence: g.sequence, epoch: g.limiter.epoch, limit: g.limiter.limit,
	}
	if slow := g.limiter.latency.slowThreshold(r.Class); slow > 0 {
		p.overdueAt = now.Add(overdueFactor * slow)
	}
	g.accounts.charge(acc, p, g.queue.leastUsedTime(g.accounts.clock(now)))
	g.running.add(p)
	if g.running.count >= p.limit-g.reserve(now) {
		g.saturatedSequence, g.saturatedLimit = p.sequence, p.limit
	}
	return p
}

func (g *Gate) enqueue(w *waiter, now time.Time) {
	if w.suspect {
		g.enqueueSuspect(w, now)
		return
	}
	g.queue.push(w)
}

// refuseLate refuses a queued request that is not expected to finish before its deadline.
func (g *Gate) refuseLate(w *waiter, now time.Time) {
	if w.resolved || w.suspect || !w.expired(now, g.expectedWait(w, now)+g.expectedService(w)) {
		return
	}
	g.queue.remove(w)
	w.resolve(result{err: g.refuse(verdict.ReasonDeadline, now)})
}

// evictExcess refuses requests until the queue is within its limit.
func (g *Gate) evictExcess(now time.Time) {
	for g.queue.total > 0 && g.waiting() > g.cfg.Service.QueueLimit {
		evicted := g.queue.evict(g.accounts.clock(now), g.meanSeconds())
		evicted.resolve(result{err: g.refuse(g.busyReason(), now)})
	}
}

func (g *Gate) enqueueSuspect(w *waiter, now time.Time) {
	if !g.isolation.admits(w.request.Fingerprint) {
		w.resolve(result{err: g.refuse(verdict.ReasonQuarantined, now)})
		return
	}
	g.isolation.push(w)
}

// meanSeconds returns the mean service time in seconds, or a default while it is unknown,
// so that requests are charged from the start.
func (g *Gate) meanSeconds() float64 {
	if g.occupancy.seconds == 0 {
		return defaultServiceTime.Seconds()
	}
	return g.occupancy.seconds
}

// expectedWait estimates how long a request waits for its slot.
func (g *Gate) expectedWait(w *waiter, now time.Time) time.Duration {
	rounds := g.queue.ahead(w.account, w.rank)
	return time.Duration(rounds) * g.occupancy.get() / time.Duration(g.limiter.current(now))
}

// expectedService estimates how long a request runs; 0 if unknown.
func (g *Gate) expectedService(w *waiter) time.Duration {
	return g.limiter.latency.typical(w.request.Class)
}

// dispatch starts waiting requests while slots are free.
func (g *Gate) dispatch(now time.Time) {
	if g.leaving {
		return
	}
	g.dispatchSuspect(now)
	mayStart := func(acc *account) bool { return g.mayStart(acc, now) }
	clock, rankWorth := g.accounts.clock(now), rankWorthRequests*g.meanSeconds()
	for g.queue.total > 0 && g.hasCapacity(now) {
		w := g.queue.pop(clock, rankWorth, mayStart)
		if w == nil {
			break
		}
		if g.divert(w, now) {
			continue
		}
		w.resolve(result{permit: g.start(w.request, w.account, now)})
	}
	g.scheduleWake(now)
}

// divert refuses a dequeued request, or moves it to isolation, if it must not start now.
// It reports whether it did either.
func (g *Gate) divert(w *waiter, now time.Time) bool {
	if remaining := g.quarantine.quarantinedFor(w.request.Fingerprint, now); remaining > 0 {
		w.resolve(result{err: g.refuseQuarantined(remaining)})
		return true
	}
	// While others wait, a slot is not spent on a request that can't finish in time.
	// Otherwise the request runs, since a wrong estimate is corrected only by running
	// one.
	if w.expired(now, 0) || g.queue.total > 0 && w.expired(now, g.expectedService(w)) {
		w.resolve(result{err: g.refuse(verdict.ReasonDeadline, now)})
		return true
	}
	if !w.suspect && g.quarantine.isSuspect(w.request.Fingerprint, now) {
		w.suspect = true
		g.enqueueSuspect(w, now)
		g.dispatchSuspect(now)
		return true
	}
	return false
}

// dispatchSuspect starts the next suspect if the isolation permits one now.
func (g *Gate) dispatchSuspect(now time.Time) {
	for {
		canStart := g.running.count < min(g.limiter.current(now), g.cfg.Service.ColdLimit)
		canStart = canStart && !g.suspectRunning(now)
		w := g.isolation.next(now, canStart)
		if w == nil {
			return
		}
		if g.divert(w, now) {
			continue
		}
		p := g.start(w.request, w.account, now)
		g.isolation.recordStart(p, now)
		w.resolve(result{permit: p})
		return
	}
}

// scheduleWake sets the timer for the next phase change of the isolation.
func (g *Gate) scheduleWake(now time.Time) {
	at := g.isolation.wakeAt()
	if at.IsZero() {
		return
	}
	wait := max(at.Sub(now), 0)
	if g.wakeTimer == nil {
		g.wakeTimer = time.AfterFunc(wait, g.onWake)
		return
	}
	g.wakeTimer.Reset(wait)
}

func (g *Gate) onWake() {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	g.dispatch(now)
}

// maxWait returns how long a request may wait for a slot. Its wait is shorter at a cold
// server, which clears a queue too slowly while another server may have capacity. A
// suspect is exempt: only a run here can clear it.
func (g *Gate) maxWait(suspect bool) time.Duration {
	if suspect || g.limiter.state() == host.StateWarm {
		return g.cfg.MaxQueueWait
	}
	return min(g.cfg.ColdQueueWait, g.cfg.MaxQueueWait)
}

// awaitResult blocks until the request is resolved, its wait limit or deadline passes, or
// ctx ends.
func (g *Gate) awaitResult(ctx context.Context, w *waiter) (*Permit, error) {
	limit := w.enqueuedAt.Add(w.maxWait)
	reason := verdict.ReasonUnspecified
	if !w.deadline.IsZero() && w.deadline.Before(limit) {
		limit, reason = w.deadline, verdict.ReasonDeadline
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return r.permit, r.err
	case <-timer.C:
		return g.cancelWait(w, reason)
	case <-ctx.Done():
		return g.cancelWait(w, verdict.ReasonCanceled)
	}
}

// cancelWait removes a request from the queue. If it was resolved meanwhile, that result
// stands.
func (g *Gate) cancelWait(w *waiter, reason verdict.Reason) (*Permit, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	if w.resolved {
		r := <-w.result
		return r.permit, r.err
	}
	g.queue.remove(w)
	g.isolation.remove(w)
	if reason == verdict.ReasonUnspecified {
		reason = g.busyReason()
	}
	w.resolve(result{err: g.refuse(reason, now)})
	r := <-w.result
	g.dispatch(now)
	return nil, r.err
}

// refuseWaiting refuses all waiting requests because the host is leaving.
func (g *Gate) refuseWaiting(now time.Time) {
	for _, w := range append(g.queue.takeAll(), g.isolation.takeAll()...) {
		w.resolve(result{err: g.refuse(verdict.ReasonLeaving, now)})
	}
}

// suspectRunning reports whether a running request has become suspect since it was
// admitted. It may have started after the crash that made it suspect. If a second suspect
// ran beside it and crashed the server, both would be quarantined.
func (g *Gate) suspectRunning(now time.Time) bool {
	if g.quarantine.empty() {
		return false
	}
	for p := g.running.head; p != nil; p = p.next {
		if g.quarantine.isSuspect(p.request.Fingerprint, now) {
			return true
		}
	}
	return false
}
