package sidecar

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTrackedCallers bounds the callers without an answer that are tracked; it
	// covers the callers of some seconds at one host.
	maxTrackedCallers = 4096
	// deadlineTolerance is the largest difference between the deadlines of two attempts
	// of one caller: their network latency varies, and the timeout is sent in
	// milliseconds.
	deadlineTolerance = 30 * time.Millisecond
)

// callerRetries recognizes callers that retry after an attempt without a successful
// answer. Each attempt has a new ID, but the same fingerprint and the same deadline.
type callerRetries struct {
	mu            sync.Mutex
	byFingerprint *simplelru.LRU[uint64, unansweredCaller]
}

// unansweredCaller is a caller whose attempt got no successful answer.
type unansweredCaller struct {
	firstAt, deadline time.Time
}

func newCallerRetries() *callerRetries {
	callers, err := simplelru.NewLRU[uint64, unansweredCaller](maxTrackedCallers, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &callerRetries{byFingerprint: callers}
}

// recordUnanswered records that a caller who made the first attempt at firstAt got no
// successful answer.
func (r *callerRetries) recordUnanswered(fingerprint uint64, firstAt, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byFingerprint.Add(fingerprint, unansweredCaller{firstAt: firstAt, deadline: deadline})
}

// firstAttemptAt returns when the caller of a request made the first attempt, or now if
// the caller is not known.
func (r *callerRetries) firstAttemptAt(fingerprint uint64, deadline, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byFingerprint.Get(fingerprint)
	if !ok || deadline.Sub(known.deadline).Abs() > deadlineTolerance {
		return now
	}
	return known.firstAt
}
