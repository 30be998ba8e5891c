package gate

import "time"

// waiter is a request in the queue. It gets exactly one answer.
type waiter struct {
	request  Request
	rank     rank
	account  *account
	since    time.Time
	deadline time.Time
	patience time.Duration
	suspect  bool
	// answer takes the one result; its buffer keeps the gate from waiting.
	answer   chan admission
	answered bool
}

// admission is the answer to a waiter: a permit or a refusal.
type admission struct {
	permit *Permit
	err    error
}

func (w *waiter) reply(a admission) {
	w.answered = true
	w.answer <- a
}

// expired reports whether the deadline leaves less than the given time.
func (w *waiter) expired(now time.Time, needed time.Duration) bool {
	return !w.deadline.IsZero() && !now.Add(needed).Before(w.deadline)
}
