package admission

import "time"

const (
	// slotsPerLateRequest is the number of slots for which one request may wait that
	// misses its objective.
	slotsPerLateRequest = 3
	// promptWaitShare is the part of the time until a request's objective for which it waits
	// while other gates may take it sooner. Times of work vary by about a third, and calls
	// within are not foreseen, so most of the time is kept for them.
	promptWaitShare = 0.1
	// maxHedgeQueuedShare is the share of the recent time with a queue up to which room is
	// spare. Queues of single moments come with any load.
	maxHedgeQueuedShare = 0.1
	// overloadQueuedShare is the share of the recent time with a queue beyond which late ones
	// are refused: those that are on time go first and leave nothing for them.
	overloadQueuedShare = 0.25
)

// acceptable reports whether a request that comes delay a time and then has to wait is
// worth taking in. One that misses its objective goes behind all others, so few of
// them are taken in, and only with time to spare.
func (m *Machine) acceptable(r Request, delay, wait time.Duration, now time.Time) bool {
	finish := now.Add(delay + wait + m.expectedServiceTime(r.Class))
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

// maxWait returns how long a request may wait in the queue. slack is the time that its
// work leaves until its objective, remaining the whole time until then. A request that other
// gates may take at once waits for little. When they refused it too, it may use its slack,
// but less of it the longer there has been a queue: a standing queue makes every request
// late and serves no more of them.
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

// hasSpareCapacity reports whether there is room that no other request is likely to need.
func (m *Machine) hasSpareCapacity(wait time.Duration, now time.Time) bool {
	return wait == 0 && m.queuedShare.valueAt(now) <= maxHedgeQueuedShare
}

// overloaded reports whether those that are on time take every slot.
func (m *Machine) overloaded(now time.Time) bool {
	return m.queuedShare.valueAt(now) > overloadQueuedShare
}
