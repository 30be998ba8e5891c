package admission

import "time"

const (
	// slotsPerLateRequest is the number of slots for each waiting request that is
	// expected to miss its objective.
	slotsPerLateRequest = 3
	// promptWaitShare is the share of the time until its objective that a request waits
	// while other gates may start it sooner. Service times vary by about a third, and
	// calls made while the request runs are not predicted, so most of the time is left
	// for them.
	promptWaitShare = 0.1
	// maxHedgeQueuedShare is the share of recent time with a queue up to which capacity
	// counts as spare. Momentary queues occur at any load.
	maxHedgeQueuedShare = 0.1
	// overloadQueuedShare is the share of recent time with a queue beyond which requests
	// that would be late are refused: those on time go first and leave no slots for them.
	overloadQueuedShare = 0.25
)

// acceptable reports whether to accept a request that arrives after delay and then has to
// wait. A request that would miss its objective goes behind all others, so few of them
// are accepted, and only if half of the time between objective and deadline remains.
func (m *Machine) acceptable(r Request, delay, wait time.Duration, now time.Time) bool {
	if r.Nested {
		return wait <= m.maxCallWait(r, delay, now)
	}
	finish := now.Add(delay + wait + m.expectedServiceTime(r.Class, now))
	slack := r.Objective.Sub(finish) + wait
	if wait <= m.maxWait(r, slack, r.Objective.Sub(now)-delay, now) {
		return true
	}
	latestFinish := r.Objective.Add(r.Deadline.Sub(r.Objective) / 2)
	if !r.AllowDelay || finish.After(latestFinish) || m.overloaded(now) {
		return false
	}
	late := 0
	for _, t := range m.waiting {
		if t.expectedLate {
			late++
		}
	}
	return late < max(m.slots/slotsPerLateRequest, 1)
}

// maxWait returns how long a request may wait in the queue. slack is the time until its
// objective that its own work leaves free, and remaining the whole time until then. A
// request that other gates may start at once gets a short wait. After they refused it
// too, it may use its slack, but less of it the longer a queue has persisted: a standing
// queue makes every request late without serving more of them.
func (m *Machine) maxWait(r Request, slack, remaining time.Duration, now time.Time) time.Duration {
	promptWait := min(slack, time.Duration(promptWaitShare*float64(remaining)))
	switch {
	case r.HasPriorWork:
		return slack
	case !r.AllowDelay:
		return promptWait
	}
	return promptWait + time.Duration((1-m.queuedShare.valueAt(now))*float64(slack-promptWait))
}

// hasSpareCapacity reports whether there is capacity that no other request is likely to
// need.
func (m *Machine) hasSpareCapacity(wait time.Duration, now time.Time) bool {
	return wait == 0 && !m.limiter.limit.Stated && m.queuedShare.valueAt(now) <= maxHedgeQueuedShare
}

// overloaded reports whether the requests that are on time take every slot.
func (m *Machine) overloaded(now time.Time) bool {
	return m.queuedShare.valueAt(now) > overloadQueuedShare
}
