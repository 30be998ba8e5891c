package idempotency

import "github.com/rotisserie/eris"

// Errors returned by Parse.
var (
	// ErrInvalidKey means that a key is empty, too long or not printable ASCII.
	ErrInvalidKey = eris.New("idempotency: key is not 1 to 128 printable ASCII characters")
	// ErrKeyTooFarAhead means that a key's time is further ahead of this node's clock than
	// the clock of any gate can be. No gate accepts the key yet, so the request did not run.
	ErrKeyTooFarAhead = eris.New("idempotency: key time is too far ahead of this node's clock")
)
