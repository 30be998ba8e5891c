package idempotency

import "github.com/rotisserie/eris"

// Errors returned by Parse.
var (
	// ErrInvalidKey means that a key is empty, too long or not printable ASCII.
	ErrInvalidKey = eris.New("idempotency: key is not 1 to 128 printable ASCII characters")
	// ErrKeyTooFarAhead means that the time of a key is further ahead than the clock of any gate can
	// be. No gate runs such a key, so the request did not run.
	ErrKeyTooFarAhead = eris.New("idempotency: key time is ahead of the clock")
)
