package idempotency

import "github.com/rotisserie/eris"

// Errors of Parse.
var (
	// ErrInvalidKey reports a key that is empty, too long or not printable ASCII.
	ErrInvalidKey = eris.New("idempotency: bad key")
	// ErrAhead reports a key whose time no gate's clock can have reached. No
	// gate runs such a key, so the request did not run.
	ErrAhead = eris.New("idempotency: key time is ahead of the clock")
)
