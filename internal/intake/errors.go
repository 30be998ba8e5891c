package intake

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	// ErrSlowBody means that the caller sent its body too slowly.
	ErrSlowBody = eris.New("request body was not received within its time limits")
	// ErrBodyConsumed means that a streamed body was to be read a second time.
	ErrBodyConsumed = eris.New("streamed request body can be read only once")
)
