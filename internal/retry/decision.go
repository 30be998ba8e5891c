package retry

import "boragefall/internal/verdict"

// Kind says what a decision permits.
type Kind uint8

// Kinds of decisions.
const (
	Stop  Kind = iota // give the final error to the caller
	Retry             // send to another server; the failed attempt may have run
	Move              // send to another server; the failed attempt did not run
)

// Why is the reason of a decision, for metrics and spans.
type Why uint8

// Reasons of decisions.
const (
	WhyPermitted       Why = iota // another attempt starts
	WhyVerdict                    // the verdict forbids another attempt
	WhyReason                     // another server would answer the same
	WhyUpstreamRetries            // a hop before this one already retries
	WhyGaveUpBelow                // a hop after this one already retried
	WhyLimit                      // this request used its attempts
	WhyDeadline                   // no time is left
	WhyBudget                     // the service used its budget
	WhyHopLimit                   // too many hops
	WhyBodySpent                  // the body was streamed and is gone
)

var whyTexts = [...]string{
	"permitted", "verdict", "reason", "upstream-retries", "gave-up-below",
	"limit", "deadline", "budget", "hop-limit", "body-spent",
}

// String returns the reason as it stands in metrics.
func (w Why) String() string {
	if int(w) >= len(whyTexts) {
		return "unknown"
	}
	return whyTexts[w]
}

// Decision is the answer to a failed attempt.
type Decision struct {
	// Kind says what to do.
	Kind Kind
	// Why says why.
	Why Why
	// Attempt is the attempt number that the next request carries.
	Attempt uint32
	// Final is the error for the caller when Kind is Stop.
	Final *verdict.Error
}
