package contract

import (
	"io"
	"net/http"
	"time"

	"boragefall/internal/host"
)

// Answer is a backend server's answer. Body returns an error instead of
// io.EOF when the answer was cut.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Trailer returns the trailers once Body has returned io.EOF. It is never
	// nil.
	Trailer func() http.Header
	// ContentLength is the body's length in bytes, or -1.
	ContentLength int64
	// GateTime is how long the gate had the request; the rest of the time until the answer
	// was spent on the way.
	GateTime time.Duration
	// Load is the gate's load when the answer started.
	Load Load
	// Body must be closed.
	Body io.ReadCloser
}

// LargeAnswerBytes is the size in bytes from which answers leave a host one after the
// other. It is that of bodies that are sent only when they are wanted.
const LargeAnswerBytes = 16 << 10

// Load is what a gate reports with each answer.
type Load struct {
	Running, Queued, Limit int
	State                  host.State
	// ServiceTime is the mean time that the server takes for a request; 0 is unknown.
	ServiceTime time.Duration
	// BodyQueueDelay is the time until the bodies that are under way to the gate have
	// arrived, and BodyRate the bytes a second at which they do; 0 is unknown.
	BodyQueueDelay time.Duration
	BodyRate       int64
	// AnswerQueueDelay is the time until the large answers that were let go have left.
	AnswerQueueDelay time.Duration
	// FailureRate is the share of requests that the server failed lately, 0 to 1.
	FailureRate float64
}
