package ledger

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a stored answer of a backend server. It is immutable.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// size returns the variable part of the answer's size in memory, in bytes.
func (a *Answer) size() int {
	total := len(a.Body)
	for _, h := range a.Headers {
		total += len(h.Name) + len(h.Value)
	}
	return total
}

// Outcome is how the request of a key ended.
type Outcome uint8

// The outcomes of a key's request.
const (
	// OutcomeMayHaveRun means that the request was sent to the backend server and its result
	// is unknown. It is the zero value, so that an unset outcome never permits another run.
	OutcomeMayHaveRun Outcome = iota
	// OutcomeRan means that the backend server answered.
	OutcomeRan
	// OutcomeFenced means that the request did not run and that this gate will not run the
	// key within the horizon.
	OutcomeFenced
	// OutcomeNotRun means that the request did not run and that the gate still owns the key.
	// The entry is removed, so that a later attempt may run here.
	OutcomeNotRun
	// OutcomeOwnershipLost means that the request did not run here and that the gate no
	// longer owns the key, so that another gate may have run it. The entry is removed.
	OutcomeOwnershipLost
)
