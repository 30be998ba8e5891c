package retry

import "time"

// Attempt describes one failed attempt.
type Attempt struct {
	// Err is why the attempt failed. An error without a verdict counts as MayHaveRun.
	Err error
	// Now is the time of the failure.
	Now time.Time
	// BodyConsumed reports that the request body was streamed and can't be sent again.
	BodyConsumed bool
}
