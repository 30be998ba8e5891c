package admission

import (
	"math"
	"time"
)

// queuedShareTimeConstant is the time constant with which a standing queue is detected.
// Queues from bursts are shorter: they last less than a second, about as long as callers
// wait.
const queuedShareTimeConstant = time.Second

// queuedShare is the share of recent time in which requests were waiting.
type queuedShare struct {
	value float64
	since time.Time
	// waiting reports whether requests have been waiting since then.
	waiting bool
}

// valueAt returns the share at a given time.
func (s *queuedShare) valueAt(now time.Time) float64 {
	decay := math.Exp(-max(now.Sub(s.since), 0).Seconds() / queuedShareTimeConstant.Seconds())
	return indicator(s.waiting) + (s.value-indicator(s.waiting))*decay
}

// record records whether requests wait from now on.
func (s *queuedShare) record(waiting bool, now time.Time) {
	s.value, s.since, s.waiting = s.valueAt(now), now, waiting
}
