// Package protocol states what requests and answers carry beside method, path
// and body, in the project's terms. An adapter translates it from and to the
// headers that callers and backend servers use.
package protocol

import (
	"net/http"
	"time"

	"boragefall/internal/mesh"
	"boragefall/internal/verdict"
)

// CallerRequest is what a caller's request says about itself.
type CallerRequest struct {
	// ID names the attempt; each one of a caller has its own.
	ID string
	// Timeout is how long the caller waits; 0 when it does not tell.
	Timeout time.Duration
}

// ServerRequest is what a request to a backend server carries.
type ServerRequest struct {
	// ID is the caller's.
	ID string
	// Origin is the service beside which the request began.
	Origin string
	// Server is the one that is to run the request; any other refuses it.
	Server mesh.ServerID
	// TimeRemaining is the time that the server may take.
	TimeRemaining time.Duration
	// Probe marks a health check, which carries none of the above.
	Probe bool
}

// ServerResponse is what a backend server's answer says beside status and body.
type ServerResponse struct {
	// ID is the request's that is answered; empty when the server does not tell.
	ID string
	// Signed reports that the server vouches for the answer. A success that it
	// does not vouch for is not its own.
	Signed bool
	// NotExecuted reports the server's word that it did not run the request.
	NotExecuted bool
	// WrongServer reports that another server than the named one answered.
	WrongServer bool
	// Server is the one that answered; empty when it does not tell.
	Server mesh.ServerID
	// ColdFor is how long the server stays cold; 0 when it is warm.
	ColdFor time.Duration
	// IdleTimeout is how long the server keeps an unused connection; 0 when it
	// does not tell.
	IdleTimeout time.Duration
}

// HeaderCodec translates between headers and the types of this package.
type HeaderCodec interface {
	// ReadCallerRequest reads a caller's request.
	ReadCallerRequest(h http.Header) CallerRequest
	// WriteServerRequest writes the headers of a request to a backend server.
	WriteServerRequest(h http.Header, o ServerRequest)
	// ReadServerResponse reads a backend server's answer.
	ReadServerResponse(status int, h http.Header) ServerResponse
	// WriteRefusal returns the status of an answer of the system's own and writes
	// its headers.
	WriteRefusal(h http.Header, id string, e *verdict.Error) int
}
