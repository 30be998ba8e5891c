package retry

import "time"

// Request is what a plan needs to know of a request.
type Request struct {
	// Service is the service that the request goes to.
	Service string
	// Idempotent permits another attempt after MayHaveRun.
	Idempotent bool
	// MaxRetries is the route's number of attempts after the first.
	MaxRetries int
	// Deadline is the end of the request's time.
	Deadline time.Time
	// IncomingAttempt is the attempt number that arrived with the request;
	// above 0 a hop before this one already retries.
	IncomingAttempt uint32
	// Hops is the hop count that arrived with the request.
	Hops uint32
}
