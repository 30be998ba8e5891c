package retry

import "boragefall/internal/verdict"

// Kind says what a decision permits.
type Kind uint8

// Kinds of decisions.
const (
	Stop    Kind = iota // give the final error to the caller
	Retry               // send to another server; the failed attempt may have run
	Reroute             // send to another server; the failed attempt did not run
)

// StopReason is the reason of a decision, for metrics and spans.
type StopReason uint8

// Reasons of decisions.
const (
	StopNone              StopReason = iota // another attempt starts
	StopVerdict                             // the verdict forbids another attempt
	StopNotRetryable                        // another server would answer the same
	StopEarlierHopRetries                   // a hop before this one already retries
	StopLaterHopGaveUp                      // a hop after this one already retried
	StopAttemptLimit                        // this request used its attempts
	StopDeadline                            // no time is left
	StopBudgetExhausted                     // the service used its budget
	StopHopLimit                            // too many hops
	StopBodyConsumed                        // the body was streamed and is gone
)

var stopReasonTexts = [...]string{
	"permitted", "verdict", "reason", "upstream-retries", "gave-up-below",
	"limit", "deadline", "budget", "hop-limit", "body-spent",
}

// String returns the reason as it stands in metrics.
func (r StopReason) String() string {
	if int(r) >= len(stopReasonTexts) {
		return "unknown"
	}
	return stopReasonTexts[r]
}

// Decision is the answer to a failed attempt.
type Decision struct {
	// Kind says what to do.
	Kind Kind
	// StopReason says why.
	StopReason StopReason
	// Attempt is the attempt number that the next request carries.
	Attempt uint32
	// Final is the error for the caller when Kind is Stop.
	Final *verdict.Error
}
