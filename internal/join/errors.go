package join

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	// ErrNotShared says that the joined request's answer went to another
	// waiter, since it was too large to keep. The waiter sends its own request.
	ErrNotShared = eris.New("the answer can't be shared")
	// ErrPanicked says that the work panicked.
	ErrPanicked = eris.New("the joined work panicked")
)
