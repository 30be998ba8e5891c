package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Reason classifies why a request failed.
type Reason uint8

// Reasons, in the order of the enum in the wire protocol.
const (
	ReasonUnspecified    Reason = iota
	ReasonNoRoute               // no route matches the request
	ReasonLacksResource         // no backend server of the service is known
	ReasonOverloaded            // a concurrency limit or a queue is full
	ReasonCold                  // the backend server's cold-start limit is reached
	ReasonLeaving               // the host or data centre is being drained
	ReasonDeadline              // the deadline has passed or can't be met
	ReasonCanceled              // the caller canceled the request
	ReasonHopLimit              // the request passed through too many nodes
	ReasonUnreachable           // connecting to the next hop failed
	ReasonConnectionLost        // the connection broke after the request was sent
	ReasonCutAnswer             // the answer was truncated
	ReasonQuarantined           // earlier attempts of the request crashed backend servers
	ReasonNotOwner              // another host owns the idempotency key
	ReasonNoLease               // the host has no lease from a majority of its service's hosts
	ReasonFenced                // the host is fenced and will never run the key
	ReasonUnknownKey            // the key may have run in an earlier process of the host
	ReasonKeyConflict           // the key was already used with another body
	ReasonKeyRequired           // the route requires a valid idempotency key
	ReasonLedgerFull            // the ledger of idempotency keys is full
	ReasonAnswerLost            // the key ran, but its answer is not stored
	ReasonBadRequest            // the request is malformed
	ReasonBodyTooLarge          // the body exceeds a size limit
	ReasonRetryBudget           // the retry budget is exhausted
	ReasonServerRefused         // the backend server refused the request without running it
	ReasonUnauthorized          // no workspace holds the request's key
	ReasonStaleConfig           // this node's configuration may be out of date
	ReasonOverQuota             // the quota of the request's workspace is used up
	ReasonQuotaUnknown          // no node that keeps the workspace's quota answered
)

var reasonTexts = [...]string{
	"unspecified", "no-route", "lacks-resource", "overloaded", "cold", "leaving",
	"deadline", "canceled", "hop-limit", "unreachable", "connection-lost",
	"cut-answer", "quarantined", "not-owner", "no-lease", "fenced", "unknown-key",
	"key-conflict", "key-required", "ledger-full", "answer-lost", "bad-request",
	"body-too-large", "retry-budget", "server-refused",
	"unauthorized", "stale-configuration", "over-quota",
	"quota-unknown",
}

// String returns the reason's name in logs, metrics and headers.
func (r Reason) String() string {
	if int(r) >= len(reasonTexts) {
		return reasonTexts[ReasonUnspecified]
	}
	return reasonTexts[r]
}

// Error describes a failed request: whether it may have run, why it failed and when
// to retry it.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason classifies the failure.
	Reason Reason
	// RetryAfter is the minimum delay before a retry is useful; 0 means unspecified.
	RetryAfter time.Duration
	// Fenced reports that the host that refused the request will never run its key.
	Fenced bool
	// HostListRevision is the revision of the host list on the host that refused the
	// request; 0 means unspecified.
	HostListRevision uint64
	// HostListEra is the era of the store to which HostListRevision belongs; 0 if there is
	// none.
	HostListEra uint64
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an Error with a verdict, a reason and an optional cause.
func New(v Verdict, r Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: r, Cause: cause}
}

// Refuse returns an Error with the verdict NotRun. Its caller must have proof that the
// request did not run.
func Refuse(r Reason, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Reason: r, RetryAfter: retryAfter}
}

// Error returns the verdict, the reason and the cause as text.
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

// FromError returns the first Error in err's chain, or nil if err is nil. Any other
// error is wrapped with the verdict MayHaveRun, since nothing proves that the request
// did not run.
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
