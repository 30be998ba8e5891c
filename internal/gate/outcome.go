package gate

import "time"

// OutcomeKind is how an admitted request ended.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	OutcomeSuccess           OutcomeKind = iota // answered, and not with a 5xx status
	OutcomeError                                // answered with a 5xx status
	OutcomeShed                                 // the server reported an overload
	OutcomeConnectionRefused                    // no connection; the request did not run
	OutcomeCrashed                              // the connection broke while the request ran
	OutcomeCanceled                             // the caller canceled the request
	OutcomeTimeout                              // the deadline passed while the request ran
)

// Outcome is what the caller of Admit reports when an admitted request has ended.
type Outcome struct {
	// Kind is how the request ended.
	Kind OutcomeKind
	// Latency is the time from sending the request to the start of its answer.
	Latency time.Duration
	// BootID identifies the server process that answered; empty if unknown.
	BootID string
}

// answered reports whether the server was up and answered.
func (k OutcomeKind) answered() bool {
	return k == OutcomeSuccess || k == OutcomeError || k == OutcomeShed
}
