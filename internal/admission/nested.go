package admission

import "time"

// A nested call is made by a run that holds a slot of its own server. A refusal wastes the
// work of that run, so calls go before new work and may wait longer than it. New work that
// is at least as urgent as a waiting call lets it go first only for yieldShare of the time
// until its objective: a called service that is saturated by calls still serves its
// own callers.

// yieldShare is half of promptWaitShare: a request that has to let nested calls go first can
// still be accepted for a prompt start.
const yieldShare = promptWaitShare / 2

// yieldUntil returns until when a request lets nested calls that are not more urgent go
// first.
func yieldUntil(r Request, now time.Time) time.Time {
	return now.Add(time.Duration(yieldShare * float64(max(r.Objective.Sub(now), 0))))
}

// next returns the index of the waiting request that starts next.
func (m *Machine) next(now time.Time) int {
	first := m.first()
	if !m.waiting[first].request.Nested {
		return first
	}
	best := -1
	for i, t := range m.waiting {
		if !t.request.Nested && (best < 0 || before(t, m.waiting[best])) {
			best = i
		}
	}
	if best >= 0 && goesBeforeCall(m.waiting[best], m.waiting[first], now) {
		return best
	}
	return first
}

// goesBeforeCall reports whether new work no longer lets a nested call go first.
func goesBeforeCall(t, call *Ticket, now time.Time) bool {
	return t.request.Priority <= call.request.Priority && !now.Before(t.yieldUntil)
}

// ahead returns the number of waiting requests that start before t.
func (m *Machine) ahead(t *Ticket, now time.Time) int {
	ahead := 0
	for _, w := range m.waiting {
		switch {
		case w == t:
		case t.request.Nested && !w.request.Nested:
			if goesBeforeCall(w, t, now) {
				ahead++
			}
		case !before(t, w):
			ahead++
		}
	}
	return ahead
}

// expectedWait estimates how long a new request waits. New work waits for nested calls that
// are not more urgent only until it stops yielding to them.
func (m *Machine) expectedWait(t *Ticket, now time.Time) time.Duration {
	ahead := m.ahead(t, now)
	wait := m.waitBehind(t, ahead, now)
	if t.request.Nested || wait == 0 {
		return wait
	}
	yielding := 0
	for _, w := range m.waiting {
		if w.request.Nested && w.request.Priority >= t.request.Priority {
			yielding++
		}
	}
	if yielding == 0 {
		return wait
	}
	return min(wait, m.waitBehind(t, ahead-yielding, now)+max(t.yieldUntil.Sub(now), 0))
}

// queueLength returns the number of nested calls or of other requests that are waiting. Each
// kind has a queue bound of its own, so that new work never causes a nested call to be
// refused.
func (m *Machine) queueLength(nested bool) int {
	n := 0
	for _, t := range m.waiting {
		if t.request.Nested == nested {
			n++
		}
	}
	return n
}

// heldForCall reports whether a nested call should look for another gate, since this one
// starts nothing until its server is known to be up.
func (m *Machine) heldForCall(r Request) bool {
	return m.held && r.Nested && !r.AllowDelay
}

// maxCallWait returns how long a nested call that arrives after delay may wait in the
// queue. While other gates may start it at once it gets a short wait. After they refused
// it, it may wait until its deadline, but less the longer calls have been queued: its run
// holds a slot of its own server meanwhile. A run whose earlier calls were answered is
// worth the whole wait.
func (m *Machine) maxCallWait(r Request, delay time.Duration, now time.Time) time.Duration {
	left := now.Add(delay + m.expectedServiceTime(r.Class, now))
	toObjective, toDeadline := max(r.Objective.Sub(left), 0), r.Deadline.Sub(left)
	toObjective = min(toObjective, toDeadline)
	prompt := min(toDeadline, time.Duration(promptWaitShare*float64(max(r.Objective.Sub(now), 0))))
	switch {
	case !r.AllowDelay && !r.HasPriorWork:
		return prompt
	case !r.AllowDelay:
		return max(prompt, toObjective)
	case r.HasPriorWork:
		return toDeadline
	}
	return prompt + time.Duration((1-m.callQueuedShare.valueAt(now))*float64(toDeadline-prompt))
}

// maxHeldCallWait is how long a nested call waits at a gate that started to hold its requests
// meanwhile. A health check of a server that is up takes a few milliseconds.
const maxHeldCallWait = 50 * time.Millisecond

// moveCallsOn refuses the waiting nested calls that this gate is not expected to serve any
// more, while there is time to serve them elsewhere. It returns when to call it again, or
// the zero time.
func (m *Machine) moveCallsOn(now time.Time) time.Time {
	if !m.held {
		m.heldSince = time.Time{}
	} else if m.heldSince.IsZero() {
		m.heldSince = now
	}
	if !m.held && !m.cold(now) || m.queueLength(true) == 0 {
		return time.Time{}
	}
	moveAt := m.heldSince.Add(maxHeldCallWait)
	var again time.Time
	calls := 0 // nested calls kept so far
	m.refuseWaitingIf(func(t *Ticket, _ int) bool {
		switch {
		case !t.request.Nested:
			return false
		case m.held && t.enqueuedAt.Before(m.heldSince):
			if now.Before(moveAt) {
				again = moveAt
			}
			return !now.Before(moveAt)
		case m.held:
			return false // it chose to wait here, after other gates refused it
		default:
			finish := now.Add(m.waitBehind(t, calls, now) + m.expectedServiceTime(t.request.Class, now)/slotTurnoverFactor)
			calls++
			return finish.After(t.request.Deadline)
		}
	}, now)
	return again
}
