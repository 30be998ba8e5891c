package retry

import "time"

// Request holds the properties of a request that decide on its retries.
type Request struct {
	// Service is the name of the target service.
	Service string
	// Idempotent permits another attempt after MayHaveRun.
	Idempotent bool
	// MaxRetries is the route's limit of retries after the first attempt.
	MaxRetries int
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// IncomingAttempt is the attempt number that arrived with the request. Above 0, an
	// earlier hop is retrying the request.
	IncomingAttempt uint32
	// Hops is the hop count that arrived with the request.
	Hops uint32
}
