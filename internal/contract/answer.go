package contract

import (
	"io"
	"net/http"
	"time"

	"boragefall/internal/host"
)

// Answer is the response of a backend server. Body returns an error instead of io.EOF
// if the response was truncated.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Trailer returns the trailers after Body has returned io.EOF. The function is
	// never nil.
	Trailer func() http.Header
	// ContentLength is the length of Body in bytes, or -1 if unknown.
	ContentLength int64
	// GateTime is the time from the request's arrival at the gate to its answer. The
	// rest of the round trip was spent on the network.
	GateTime time.Duration
	// Load is the gate's load at the start of the answer.
	Load Load
	// Body is the response body. The receiver must close it.
	Body io.ReadCloser
}

// LargeAnswerBytes is the size from which a host sends answers one at a time. It equals
// the size from which request bodies are sent only when the gate requests them.
const LargeAnswerBytes = 16 << 10

// Load is the load that a gate reports with each answer.
type Load struct {
	Running, Queued, Limit int
	State                  host.State
	// ServiceTime is the server's mean service time per request; 0 means unknown. Where
	// Slowdown is known, it is that at the server's usual speed.
	ServiceTime time.Duration
	// Slowdown is how long work takes at the moment, in percent of the usual time; 0 means
	// unknown, as from builds that don't report it.
	Slowdown int
	// Concurrency is the number of requests that the server runs well at once if it is
	// below Limit, and otherwise 0.
	Concurrency int
	// BodyQueueDelay is the time until the request bodies in transit to the gate have
	// arrived. BodyRate is their transfer rate in bytes per second; 0 means unknown.
	BodyQueueDelay time.Duration
	BodyRate       int64
	// AnswerQueueDelay is the time until the large answers for which link capacity is
	// reserved have been sent, also those of requests that are queued or running.
	// AnswerRate is the rate at which they are sent in bytes per second; 0 means unknown.
	AnswerQueueDelay time.Duration
	AnswerRate       int64
	// RateLimit is the request rate that the server accepts, and StartWait the time until
	// the gate may start one more request because of it.
	RateLimit RateLimit
	StartWait time.Duration
	// FailureRate is the fraction of recent requests that the server failed, 0 to 1.
	FailureRate float64
}
