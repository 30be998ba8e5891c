package configservice

import "github.com/rotisserie/eris"

// Sentinel errors of this package, to be tested for with errors.Is.
var (
	// ErrUnavailable means that the service can't be reached or responded with 5xx.
	ErrUnavailable = eris.New("configuration service is unavailable")
	// ErrRateLimited means that the service rejected the read with 429.
	ErrRateLimited = eris.New("configuration service's read limit exceeded")
	// ErrReadBudgetExhausted means that this node's read budget does not allow the
	// call before its timeout.
	ErrReadBudgetExhausted = eris.New("node's read budget exhausted")
	// ErrInconsistent means that the listing changed during every attempt to read
	// the folder.
	ErrInconsistent = eris.New("listing kept changing during the read")
	// ErrMismatch means that a file was removed after it was listed, or that its
	// revision or hash differs from the listed one.
	ErrMismatch = eris.New("file does not match its listing")
	// ErrMalformed means that a request or a response violates the protocol.
	ErrMalformed = eris.New("malformed message of the configuration service")
	// ErrTooLarge means that a response body exceeds its size limit.
	ErrTooLarge = eris.New("response of the configuration service is too large")
)
