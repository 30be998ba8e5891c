// Package contract defines the request that one node sends to another and the answer
// that it receives.
package contract

import (
	"io"
	"net/http"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

// HopLimit is the maximum number of nodes that a request may pass through, together
// with the nested requests that it causes.
const HopLimit = 32

// MaxFences is the maximum number of hosts that may fence one key. An entry node fails
// over to at most that many further hosts in rank order, and the last of them never
// fences the key. So a key that every host refused because of load can still run when it
// is sent again.
const MaxFences = 3

// Request is one attempt to run a caller's request on a backend server.
type Request struct {
	// ID identifies the request in answers, logs and trace spans.
	ID string
	// Caller is the caller's name from its request, or else its address.
	Caller string
	// Method, URI (path and query) and Host come from the HTTP request.
	Method, URI, Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Route and Service are the names of the route and service in the configuration.
	Route, Service string
	// Idempotent reports whether the route's requests are idempotent.
	Idempotent bool
	// Priority is the route's priority at the gate.
	Priority config.Priority
	// Key is the idempotency key, scoped to the caller. It is empty for idempotent
	// requests.
	Key string
	// KeyTime is when the key was generated; it is zero for a key without a timestamp.
	KeyTime time.Time
	// KeyMinted reports that the entry node generated the key, so no other process
	// knows it.
	KeyMinted bool
	// BodyDigest identifies the body if the whole body was buffered.
	BodyDigest []byte
	// Deadline is when the request times out, by this process's clock.
	Deadline time.Time
	// Attempt is the number of earlier attempts, over all hops.
	Attempt int
	// Crashes is the number of servers that crashed during earlier attempts.
	Crashes int
	// Hops is the number of nodes that the request has passed through.
	Hops int
	// ConfigVersion and HostListRevision are the versions that the sender uses.
	// HostListEra is the era of the store to which the revision belongs; 0 if there is none.
	ConfigVersion    config.Version
	HostListEra      uint64
	HostListRevision uint64
	// FencedHosts lists the hosts that will never run the key.
	FencedHosts []host.ID
	// Server identifies the server incarnation that the entry node chose. If it is
	// empty, any incarnation may run the request.
	Server string
	// Objective is the time by which an answer is most useful, by this process's
	// clock; it is zero if there is none.
	Objective time.Time
	// CrossesDataCentres reports that the chosen server is in another data centre than this
	// node. It is not sent.
	CrossesDataCentres bool
	// Origin is the service on whose host the request entered the mesh.
	Origin string
	// Rank is the request's rank in the queue of a full server; 0 is served first.
	Rank int
	// Hedge reports that another server is already working on the request. The gate
	// should admit it only if no other request needs the capacity.
	Hedge bool
	// AllowDelay reports that the caller prefers a wait or a late answer to a refusal.
	AllowDelay bool
	// HasPriorWork reports that the request is a call made by a running request whose
	// earlier calls were answered. A refusal would waste that work.
	HasPriorWork bool
	// Nested reports that the request is a call made by a running request, and that Rank is
	// the rank of that request. Old builds don't set it.
	Nested bool
	// RateLimit is the limit that the server stated lately, as far as the entry knows.
	RateLimit RateLimit
	// Fingerprint identifies the request in the quarantine.
	Fingerprint uint64
	// ContentLength is the length of Body in bytes, or -1 if unknown.
	ContentLength int64
	// BodyBuffered reports that the whole body is in this host's memory.
	BodyBuffered bool
	// Body is the request body. It is never nil.
	Body io.Reader
	// Trailer holds the trailers after Body has returned io.EOF.
	Trailer http.Header
}

// Remaining returns the time from now until the deadline.
func (r *Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}
