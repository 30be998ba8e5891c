package gate

import "time"

// waiter is a request in the queue. It gets exactly one answer.
type waiter struct {
	request    Request
	rank       rank
	account    *account
	enqueuedAt time.Time
	deadline   time.Time
	maxWait    time.Duration
	suspect    bool
	// result takes the one result; its buffer keeps the gate from waiting.
	result   chan result
	resolved bool
}

// result is the answer to a waiter: a permit or a refusal.
type result struct {
	permit *Permit
	err    error
}

func (w *waiter) resolve(r result) {
	w.resolved = true
	w.result <- r
}

// expired reports whether the deadline leaves less than the given time.
func (w *waiter) expired(now time.Time, needed time.Duration) bool {
	return !w.deadline.IsZero() && !now.Add(needed).Before(w.deadline)
}
