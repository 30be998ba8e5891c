package ledger

// Header is one header line of an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is the stored answer of a backend server. It is immutable.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// size is the memory of the answer in bytes, without fixed parts.
func (a *Answer) size() int {
	total := len(a.Body)
	for _, h := range a.Headers {
		total += len(h.Name) + len(h.Value)
	}
	return total
}

// Outcome is how the work on a key ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeMayHaveRun means that the request reached the backend server and
	// its end is not known. It is the zero value, so that an outcome nobody set
	// never permits another run.
	OutcomeMayHaveRun Outcome = iota
	// OutcomeRan means that the backend server answered.
	OutcomeRan
	// OutcomeFenced means that the request did not run and this gate never
	// runs it within the horizon.
	OutcomeFenced
	// OutcomeNotRun means that the request did not run, the gate may still run
	// the key, and the key is forgotten, so that a later attempt may run here.
	OutcomeNotRun
	// OutcomeOwnershipLost means that the request did not run here and the gate may not
	// run the key any more, so that it can't speak for other gates. The key is
	// forgotten.
	OutcomeOwnershipLost
)
