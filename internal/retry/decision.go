package retry

import "boragefall/internal/verdict"

// Kind is the action that a Decision permits.
type Kind uint8

// The kinds of decisions.
const (
	Stop    Kind = iota // return the final error to the caller
	Retry               // send to another server; the failed attempt may have run
	Reroute             // send to another server; the failed attempt did not run
)

// StopReason is why no further attempt is made, for metrics and spans.
type StopReason uint8

// The stop reasons. StopNone, the zero value, permits another attempt.
const (
	StopNone              StopReason = iota // another attempt is made
	StopVerdict                             // the verdict forbids another attempt
	StopNotRetryable                        // no other server would give another result
	StopEarlierHopRetries                   // an earlier hop retries the request
	StopLaterHopGaveUp                      // a later hop stopped retrying or had no budget
	StopAttemptLimit                        // the request reached its limit of retries or reroutes
	StopDeadline                            // too little time is left until the deadline
	StopBudgetExhausted                     // the service has no tokens left in its budget
	StopHopLimit                            // the request reached the hop limit
	StopBodyConsumed                        // the body was streamed and can't be sent again
)

var stopReasonTexts = [...]string{
	"permitted", "verdict", "reason", "upstream-retries", "gave-up-below",
	"limit", "deadline", "budget", "hop-limit", "body-spent",
}

// String returns the label of the reason in metrics.
func (r StopReason) String() string {
	if int(r) >= len(stopReasonTexts) {
		return "unknown"
	}
	return stopReasonTexts[r]
}

// Decision is the result of evaluating a failed attempt.
type Decision struct {
	// Kind is the permitted action.
	Kind Kind
	// StopReason is why the request stops; StopNone unless Kind is Stop.
	StopReason StopReason
	// Attempt is the attempt number that the next request carries.
	Attempt uint32
	// Final is the error for the caller when Kind is Stop.
	Final *verdict.Error
}
