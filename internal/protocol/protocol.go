// Package protocol defines the metadata of requests and responses, independent of
// the HTTP headers that carry it. A HeaderCodec translates between this metadata and
// the headers that callers and backend servers use.
package protocol

import (
	"net/http"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/verdict"
)

// CallerRequest is the metadata of a caller's request.
type CallerRequest struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Timeout is how long the caller waits for a response; 0 when unspecified.
	Timeout time.Duration
	// Key is the caller's key; empty when there is none or it is malformed.
	Key mesh.APIKey
}

// ServerRequest is the metadata of a request to a backend server.
type ServerRequest struct {
	// ID is the request ID that the caller sent.
	ID string
	// Origin is the service on whose host the request entered the mesh.
	Origin string
	// Server is the server that must execute the request; any other server refuses it.
	Server mesh.ServerID
	// TimeRemaining is the time until the deadline of the request.
	TimeRemaining time.Duration
	// Probe marks a health check; the other fields are unused.
	Probe bool
}

// ServerResponse is the metadata of a backend server's response.
type ServerResponse struct {
	// ID is the ID of the request that is answered; empty when unspecified.
	ID string
	// Signed reports that the response has the server's signature. A success response
	// without a signature comes from another process.
	Signed bool
	// NotExecuted reports that the server states that it did not execute the request.
	NotExecuted bool
	// WrongServer reports that a server other than the requested one responded.
	WrongServer bool
	// Server is the server that responded; empty when unspecified.
	Server mesh.ServerID
	// ColdFor is the remaining warm-up time of the server; 0 when it is warm.
	ColdFor time.Duration
	// ColdForCut reports that the server stated a longer time than any server is cold.
	ColdForCut bool
	// IdleTimeout is how long the server keeps an idle connection open; 0 when
	// unspecified.
	IdleTimeout time.Duration
	// Notice is what the server states about itself.
	Notice ServerNotice
	// Load is the server's load; zero when the server stated none.
	Load ServerLoad
}

// ServerLoad is the load that a server states in its responses.
type ServerLoad struct {
	// Stated reports that the other fields were stated.
	Stated bool
	// Running and Waiting are the requests that the server runs and those that wait in it.
	Running, Waiting int
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Slowdown is how long work takes at the moment, in percent of the usual time; 0 when
	// unspecified.
	Slowdown int
}

// ServerNotice is what a server states about itself in any of its responses.
type ServerNotice struct {
	// Leaving reports that the server is about to leave and must not get new requests.
	Leaving bool
	// RateLimit is the rate that the server accepts from all nodes together.
	RateLimit contract.RateLimit
	// MalformedLimit is the text of a limit that can't be read; empty when there is none.
	MalformedLimit string
}

// CallerCodec translates the headers of callers.
type CallerCodec interface {
	// ReadCallerRequest returns the metadata of a caller's request.
	ReadCallerRequest(h http.Header) CallerRequest
	// SetWorkspace removes the caller's credentials from the headers of a request and
	// sets the workspace that the server sees; an empty name sets none.
	SetWorkspace(h http.Header, workspace string)
	// WriteRefusal sets the headers of an error response that the mesh itself
	// generates, and returns its status code.
	WriteRefusal(h http.Header, id string, e *verdict.Error) int
}

// ServerCodec translates the headers of backend servers.
type ServerCodec interface {
	// WriteServerRequest sets the headers of a request to a backend server.
	WriteServerRequest(h http.Header, o ServerRequest)
	// ReadServerResponse returns the metadata of a backend server's response.
	ReadServerResponse(status int, h http.Header) ServerResponse
}

// NoticeReader reads what backend servers state about themselves in any response.
type NoticeReader interface {
	ReadServerNotice(h http.Header) ServerNotice
}

// HeaderCodec translates between HTTP headers and the types of this package.
type HeaderCodec interface {
	CallerCodec
	ServerCodec
	NoticeReader
}
