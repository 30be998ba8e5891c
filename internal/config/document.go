// Package config merges a folder of small JSON files into one routing
// configuration, checks it whole and describes it. It does no I/O besides
// ReadFolder, so every node and the command line reach the same result for the
// same bytes.
package config

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// Document is the merged configuration.
type Document struct {
	// Epoch orders versions across a restore of the platform. Default 0.
	Epoch uint64 `json:"epoch,omitempty"`
	// Services by name.
	Services map[string]Service `json:"services,omitempty"`
	// Routes by name.
	Routes map[string]Route `json:"routes,omitempty"`
	// Callers by name, as they name themselves in the Boragefall-Caller header.
	Callers map[string]Caller `json:"callers,omitempty"`
	// DataCentres by name.
	DataCentres map[datacentre.ID]DataCentre `json:"dataCentres,omitempty"`
	// Hosts holds marks of single hosts by name.
	Hosts map[host.ID]HostMark `json:"hosts,omitempty"`
}

// Service is a group of backend servers that run the same code.
type Service struct {
	// Slots is the number of requests that one server runs at once. Required,
	// 1 to MaxSlots.
	Slots int `json:"slots"`
	// Connections is the number of connections that one server takes. Required,
	// Slots to MaxConnections.
	Connections int `json:"connections"`
	// ColdLimit is the number of requests that a cold server bears. Default 1,
	// at most Slots.
	ColdLimit int `json:"coldLimit,omitempty"`
	// QueueLimit is the number of requests that wait at one gate. Default 2×Slots.
	QueueLimit int `json:"queueLimit,omitempty"`
	// WarmAfter is the number of good answers that warm a cold server.
	// Default 20×Slots.
	WarmAfter int `json:"warmAfter,omitempty"`
	// ResendWindow is how long after a restart untimed keys are refused.
	// Default 20 s, 1 s to 10 min.
	ResendWindow Duration `json:"resendWindow,omitempty"`
}

// KeyPolicy says what a route asks of idempotency keys.
type KeyPolicy string

// Key policies.
const (
	KeyOptional KeyPolicy = "optional" // a key is used when there is one; the default
	KeyRequired KeyPolicy = "required" // a request without a key is refused
	KeyTimed    KeyPolicy = "timed"    // a key without a usable time is refused
	KeyDigest   KeyPolicy = "digest"   // without a key, the request's digest serves as one
)

// Priority orders queued requests at a gate.
type Priority string

// Priorities.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal" // the default
	PriorityLow    Priority = "low"
)

// Match selects requests. All stated parts must hold.
type Match struct {
	// Methods lists HTTP methods; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Host is the exact host name without a port; empty matches all.
	Host string `json:"host,omitempty"`
	// Path is the exact path. One of Path and PathPrefix is required.
	Path string `json:"path,omitempty"`
	// PathPrefix takes that path and all below it. It ends in / only as "/".
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Headers lists exact header values by canonical name.
	Headers map[string]string `json:"headers,omitempty"`
}

// Route sends matching requests to a service.
type Route struct {
	Match Match `json:"match"`
	// Service names the service. Required.
	Service string `json:"service"`
	// Timeout bounds the whole request. Default 10 s, 1 ms to 10 min.
	Timeout Duration `json:"timeout,omitempty"`
	// Idempotent permits retries of requests that may have run. Default false.
	Idempotent bool `json:"idempotent,omitempty"`
	// Key is the key policy of requests that are not idempotent. Default optional.
	Key KeyPolicy `json:"key,omitempty"`
	// Priority orders the queue at the gate. Default normal.
	Priority Priority `json:"priority,omitempty"`
	// Retries is the number of attempts after the first. Default 2, at most 5.
	// A pointer, since 0 is a choice of its own.
	Retries *int `json:"retries,omitempty"`
}

// Caller is a partner or a service that sends requests.
type Caller struct {
	// Weight is the caller's share under contention. Default 1, at most 100.
	Weight int `json:"weight,omitempty"`
}

// DataCentre describes a data centre and its mark.
type DataCentre struct {
	Region datacentre.Region `json:"region"`
	// Leaving takes the data centre out: it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// HostMark marks a single host.
type HostMark struct {
	// Leaving takes the host out: it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Duration is a time span that JSON writes as a Go duration string such as "2s".
type Duration time.Duration

// MarshalJSON writes the duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Wrapf(ErrBadDuration, "%s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return eris.Wrapf(ErrBadDuration, "%q", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the standard library's duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
