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

// Call is what a caller's request says about itself.
type Call struct {
	// ID names the attempt; each one of a caller has its own.
	ID string
	// Patience is how long the caller waits; 0 when it does not tell.
	Patience time.Duration
}

// Order is what a request to a backend server carries.
type Order struct {
	// ID is the caller's.
	ID string
	// Origin is the service beside which the request began.
	Origin string
	// Server is the one that is to run the request; any other refuses it.
	Server mesh.ServerID
	// Left is the time that the server may take.
	Left time.Duration
	// Probe marks a health check, which carries none of the above.
	Probe bool
}

// Reply is what a backend server's answer says beside status and body.
type Reply struct {
	// ID is the request's that is answered; empty when the server does not tell.
	ID string
	// Signed reports that the server vouches for the answer. A success that it
	// does not vouch for is not its own.
	Signed bool
	// NotRun reports the server's word that it did not run the request.
	NotRun bool
	// OtherServer reports that another server than the named one answered.
	OtherServer bool
	// Server is the one that answered; empty when it does not tell.
	Server mesh.ServerID
	// ColdFor is how long the server stays cold; 0 when it is warm.
	ColdFor time.Duration
	// IdleLimit is how long the server keeps an unused connection; 0 when it
	// does not tell.
	IdleLimit time.Duration
}

// Headers translates between headers and the types of this package.
type Headers interface {
	// Call reads a caller's request.
	Call(h http.Header) Call
	// SetOrder writes the headers of a request to a backend server.
	SetOrder(h http.Header, o Order)
	// Reply reads a backend server's answer.
	Reply(status int, h http.Header) Reply
	// Refusal returns the status of an answer of the system's own and writes
	// its headers.
	Refusal(h http.Header, id string, e *verdict.Error) int
}
