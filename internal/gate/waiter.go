package gate

import "time"

// waiter is a request in the queue. It gets exactly one result.
type waiter struct {
	request    Request
	rank       rank
	account    *account
	enqueuedAt time.Time
	deadline   time.Time
	maxWait    time.Duration
	suspect    bool
	// result receives the one result; its buffer keeps the gate from blocking.
	result   chan result
	resolved bool
}

// result is the result for a waiter: a permit or an error.
type result struct {
	permit *Permit
	err    error
}

func (w *waiter) resolve(r result) {
	w.resolved = true
	w.result <- r
}

// expired reports whether less than the needed time is left before the deadline.
func (w *waiter) expired(now time.Time, needed time.Duration) bool {
	return !w.deadline.IsZero() && !now.Add(needed).Before(w.deadline)
}
