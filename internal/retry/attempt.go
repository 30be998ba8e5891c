package retry

import "time"

// Attempt is one failed attempt.
type Attempt struct {
	// Err is the failure. An error without a verdict counts as MayHaveRun.
	Err error
	// Now is the time of the failure.
	Now time.Time
	// BodyConsumed reports that the request's body can't be sent again.
	BodyConsumed bool
}
