package configservice

import "github.com/rotisserie/eris"

// Sentinel errors of this package. Callers test for them with errors.Is.
var (
	// ErrUnavailable means that the service can't be reached or answers 5xx.
	ErrUnavailable = eris.New("the platform's service is out")
	// ErrRateLimited means that the service refused the read by its own limit.
	ErrRateLimited = eris.New("the platform's read limit is passed")
	// ErrReadBudgetExhausted means that this node's read budget has no room in time.
	ErrReadBudgetExhausted = eris.New("the node's read budget is spent")
	// ErrInconsistent means that no two listings agreed within the tries.
	ErrInconsistent = eris.New("the listings did not agree")
	// ErrMismatch means that a value's bytes differ from its listed hash.
	ErrMismatch = eris.New("the value differs from its listed hash")
	// ErrMalformed means that an answer is not what the protocol says.
	ErrMalformed = eris.New("the platform's answer is malformed")
	// ErrTooLarge means that an answer is over its size limit.
	ErrTooLarge = eris.New("the platform's answer is too large")
)
