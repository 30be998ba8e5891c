package admission

import (
	"math"
	"time"
)

// queuedShareTimeConstant is the time over which a standing queue is noticed. Queues of
// bursts are shorter: those last for less than a second, as callers' patience does.
const queuedShareTimeConstant = time.Second

// queuedShare is the share of the recent time in which requests waited.
type queuedShare struct {
	value float64
	since time.Time
	// waiting is whether requests have waited since then.
	waiting bool
}

// valueAt returns the share valueAt a moment.
func (s *queuedShare) valueAt(now time.Time) float64 {
	decay := math.Exp(-max(now.Sub(s.since), 0).Seconds() / queuedShareTimeConstant.Seconds())
	return indicator(s.waiting) + (s.value-indicator(s.waiting))*decay
}

// record takes in whether requests wait from now on.
func (s *queuedShare) record(waiting bool, now time.Time) {
	s.value, s.since, s.waiting = s.valueAt(now), now, waiting
}
