// Package contract states what one node asks of another for one request, and
// what it gets back.
package contract

import (
	"io"
	"net/http"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

// HopLimit is the largest number of nodes that a request and the requests
// nested in it may pass through.
const HopLimit = 32

// MaxFences is the number of hosts that fence one key at most. An entry goes
// on to as many further ranks and no further, so the next one never fences: a
// key that is refused everywhere for load can still run when it is sent again.
const MaxFences = 3

// Request is one attempt to have a request run.
type Request struct {
	// ID names the request in answers, logs and spans.
	ID string
	// Caller is the name that the caller gave, or its address.
	Caller string
	// Method, URI (path and query) and Host are those of the HTTP request.
	Method, URI, Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Route and Service are names in the configuration.
	Route, Service string
	// Idempotent is the route's class.
	Idempotent bool
	// Priority is the route's priority at the gate.
	Priority config.Priority
	// Key is the idempotency key, already scoped to the caller. It is empty
	// for idempotent requests.
	Key string
	// KeyTime is the key's own time; the zero time means that it has none.
	KeyTime time.Time
	// KeyMinted reports that the entry made the key, so no other process
	// knows it.
	KeyMinted bool
	// BodyDigest identifies the body when it was buffered whole.
	BodyDigest []byte
	// Deadline bounds the request, in this process's clock.
	Deadline time.Time
	// Attempt counts tries from 0, over all hops.
	Attempt int
	// Crashes counts the servers that crashed during earlier attempts.
	Crashes int
	// Hops counts the nodes passed so far.
	Hops int
	// ConfigVersion and HostListRevision are the sender's views.
	ConfigVersion    config.Version
	HostListRevision uint64
	// FencedHosts names the hosts that will never run this key.
	FencedHosts []host.ID
	// Server names the incarnation that the entry chose; empty takes any.
	Server string
	// Objective is the time until which an answer is most useful, in this
	// process's clock; the zero time states none.
	Objective time.Time
	// Origin is the service beside which the request began.
	Origin string
	// Rank orders requests at a full server; 0 goes first.
	Rank int
	// Hedge reports that another server works on the request already: this one is to
	// take it only if nobody else needs the room.
	Hedge bool
	// AllowDelay reports that waiting, or a late answer, is preferred to a refusal.
	AllowDelay bool
	// HasPriorWork reports that this is a call of a running request for which earlier calls
	// were served: a refusal would waste them.
	HasPriorWork bool
	// Fingerprint identifies the request to the quarantine.
	Fingerprint uint64
	// ContentLength is the body's length in bytes, or -1.
	ContentLength int64
	// BodyBuffered reports that the body is in this host's memory.
	BodyBuffered bool
	// Body is never nil.
	Body io.Reader
	// Trailer is filled once Body has returned io.EOF.
	Trailer http.Header
}

// Remaining returns the time left before the deadline.
func (r *Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}
