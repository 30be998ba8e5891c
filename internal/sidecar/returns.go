package sidecar

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTrackedCallers bounds the callers without an answer that are remembered; it
	// covers the callers of some seconds at one host.
	maxTrackedCallers = 4096
	// deadlineTolerance is how far apart the deadlines of two attempts of one caller may
	// appear: the way of each request varies, and patience is told in milliseconds.
	deadlineTolerance = 30 * time.Millisecond
)

// callerRetries recognises callers that come again after an attempt without a good answer.
// They name each attempt anew, but ask for the same and wait until the same moment.
type callerRetries struct {
	mu            sync.Mutex
	byFingerprint *simplelru.LRU[uint64, unansweredCaller]
}

// unansweredCaller is a caller whose attempt had no good answer.
type unansweredCaller struct {
	firstAt, deadline time.Time
}

func newCallerRetries() *callerRetries {
	callers, err := simplelru.NewLRU[uint64, unansweredCaller](maxTrackedCallers, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &callerRetries{byFingerprint: callers}
}

// recordUnanswered notes that an attempt that came at firstAt had no good answer.
func (r *callerRetries) recordUnanswered(fingerprint uint64, firstAt, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byFingerprint.Add(fingerprint, unansweredCaller{firstAt: firstAt, deadline: deadline})
}

// firstAttemptAt returns when the caller of a request first came; now when it was not
// seen before.
func (r *callerRetries) firstAttemptAt(fingerprint uint64, deadline, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byFingerprint.Get(fingerprint)
	if !ok || deadline.Sub(known.deadline).Abs() > deadlineTolerance {
		return now
	}
	return known.firstAt
}
