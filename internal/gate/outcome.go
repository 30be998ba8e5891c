package gate

import "time"

// OutcomeKind says how an admitted request ended.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	OutcomeSuccess           OutcomeKind = iota // answered, and not by a 5xx
	OutcomeError                                // answered by a 5xx
	OutcomeShed                                 // the server said that it is overloaded
	OutcomeConnectionRefused                    // no connection; the request did not run
	OutcomeCrashed                              // the connection died while the request ran
	OutcomeCanceled                             // the caller left
	OutcomeTimeout                              // the deadline passed while the request ran
)

// Outcome is what the caller of Admit reports when an admitted request ended.
type Outcome struct {
	// Kind says how the request ended.
	Kind OutcomeKind
	// Latency is the time from sending the request to the start of its answer.
	Latency time.Duration
	// BootID names the server process that answered; empty states none.
	BootID string
}

// answered reports whether the server lived and answered.
func (k OutcomeKind) answered() bool {
	return k == OutcomeSuccess || k == OutcomeError || k == OutcomeShed
}
