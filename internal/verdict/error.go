package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Reason is the typed cause of a failed request.
type Reason uint8

// Reasons, in the order of the wire enumeration.
const (
	ReasonUnspecified    Reason = iota
	ReasonNoRoute               // no route matches
	ReasonLacksResource         // the service has no known backend server here
	ReasonOverloaded            // a limit or queue is full
	ReasonCold                  // the cold-start limit is reached
	ReasonLeaving               // the host or data centre is leaving
	ReasonDeadline              // the time budget is spent
	ReasonCanceled              // the caller left
	ReasonHopLimit              // too many hops
	ReasonUnreachable           // no connection to the next hop was made
	ReasonConnectionLost        // the connection broke after the request was sent
	ReasonCutAnswer             // the answer ended early
	ReasonQuarantined           // the request crashed backend servers before
	ReasonNotOwner              // this host is not the one that may run the key
	ReasonNoLease               // the host lacks contact with its service's majority
	ReasonFenced                // this host will never run the key
	ReasonUnknownKey            // the key may have run on an earlier process
	ReasonKeyConflict           // the same key with another body
	ReasonKeyRequired           // the route requires a usable key
	ReasonLedgerFull            // the ledger holds as many keys as it may
	ReasonAnswerLost            // the key ran but its answer is not stored
	ReasonBadRequest            // the request itself is malformed
	ReasonBodyTooLarge          // the body is over a limit
	ReasonRetryBudget           // no retry was left
	ReasonServerRefused         // the backend server itself did not run it
)

var reasonTexts = [...]string{
	"unspecified", "no-route", "lacks-resource", "overloaded", "cold", "leaving",
	"deadline", "canceled", "hop-limit", "unreachable", "connection-lost",
	"cut-answer", "quarantined", "not-owner", "no-lease", "fenced", "unknown-key",
	"key-conflict", "key-required", "ledger-full", "answer-lost", "bad-request",
	"body-too-large", "retry-budget", "server-refused",
}

// String returns the reason as it stands in logs, metrics and headers.
func (r Reason) String() string {
	if int(r) >= len(reasonTexts) {
		return reasonTexts[ReasonUnspecified]
	}
	return reasonTexts[r]
}

// Error is a failed request: what is known about its running, why it failed
// and when to come back.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the typed cause.
	Reason Reason
	// RetryAfter is the earliest useful time of the next try; 0 states none.
	RetryAfter time.Duration
	// Fenced reports that the refusing host will never run this key.
	Fenced bool
	// HostListRevision is the refusing host's view of the host list; 0 states none.
	HostListRevision uint64
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error with a verdict, a reason and an optional cause.
func New(v Verdict, r Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: r, Cause: cause}
}

// Refuse returns a NotRun error. The caller of Refuse holds the proof that the
// request did not run.
func Refuse(r Reason, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Reason: r, RetryAfter: retryAfter}
}

// Error returns the verdict, the reason and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.Verdict, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// FromError returns the verdict error inside err. An error without one becomes
// MayHaveRun, since nothing proves otherwise.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var verdictErr *Error
	if errors.As(err, &verdictErr) {
		return verdictErr
	}
	return New(MayHaveRun, ReasonUnspecified, err)
}
