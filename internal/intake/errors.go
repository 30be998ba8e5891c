package intake

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	// ErrSlowBody says that the caller sent its body too slowly.
	ErrSlowBody = eris.New("the caller sends its body too slowly")
	// ErrBodyConsumed says that a streamed body was read a second time.
	ErrBodyConsumed = eris.New("a streamed body can be read once only")
)
