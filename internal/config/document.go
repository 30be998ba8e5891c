// Package config merges a folder of JSON files into one routing configuration,
// validates the result, and can explain and diff it. Only ReadFolder does I/O, so
// every node and the command line reach the same result for the same bytes.
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
	// Epoch orders versions across a restore of the platform: it takes precedence
	// over the platform's revision. Default 0.
	Epoch uint64 `json:"epoch,omitempty"`
	// Services maps names to services.
	Services map[string]Service `json:"services,omitempty"`
	// Routes maps names to routes.
	Routes map[string]Route `json:"routes,omitempty"`
	// Callers maps the names that callers send in the Boragefall-Caller header to
	// their settings.
	Callers map[string]Caller `json:"callers,omitempty"`
	// DataCentres maps names to data centres.
	DataCentres map[datacentre.ID]DataCentre `json:"dataCentres,omitempty"`
	// Hosts maps names of hosts to their marks.
	Hosts map[host.ID]HostMark `json:"hosts,omitempty"`
}

// Service is a group of backend servers that run the same code.
type Service struct {
	// Slots is the concurrency limit of one server, in requests. Required,
	// 1 to MaxSlots.
	Slots int `json:"slots"`
	// Connections is the number of connections that one server accepts. Required,
	// Slots to MaxConnections.
	Connections int `json:"connections"`
	// ColdLimit is the concurrency limit of a cold server. Default 1, at most
	// Slots.
	ColdLimit int `json:"coldLimit,omitempty"`
	// QueueLimit is the number of requests that may queue at one gate.
	// Default 2×Slots.
	QueueLimit int `json:"queueLimit,omitempty"`
	// WarmAfter is the number of successful responses after which a cold server
	// counts as warm.
	// Default 20×Slots.
	WarmAfter int `json:"warmAfter,omitempty"`
	// ResendWindow is how long after a restart keys without a time are refused.
	// Default 20 s, 1 s to 10 min.
	ResendWindow Duration `json:"resendWindow,omitempty"`
}

// KeyPolicy is a route's requirement on idempotency keys.
type KeyPolicy string

// Key policies.
const (
	KeyOptional KeyPolicy = "optional" // a key is used if present; the default
	KeyRequired KeyPolicy = "required" // a request without a key is refused
	KeyTimed    KeyPolicy = "timed"    // a key without a usable time is refused
	KeyDigest   KeyPolicy = "digest"   // without a key, the request's digest is used as the key
)

// Priority orders queued requests at a gate.
type Priority string

// Priorities.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal" // the default
	PriorityLow    Priority = "low"
)

// Match selects requests. All conditions that are set must hold.
type Match struct {
	// Methods lists HTTP methods; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Host is the exact host name without a port; empty matches all.
	Host string `json:"host,omitempty"`
	// Path is the exact path. One of Path and PathPrefix is required.
	Path string `json:"path,omitempty"`
	// PathPrefix matches that path and all paths below it. Only "/" ends in a
	// slash.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Headers maps canonical header names to exact values.
	Headers map[string]string `json:"headers,omitempty"`
}

// Route sends matching requests to a service.
type Route struct {
	Match Match `json:"match"`
	// Service is the name of the service. Required.
	Service string `json:"service"`
	// Timeout bounds the whole request. Default 10 s, 1 ms to 10 min.
	Timeout Duration `json:"timeout,omitempty"`
	// Idempotent permits retries of requests that may have run. Default false.
	Idempotent bool `json:"idempotent,omitempty"`
	// Key is the policy on idempotency keys if the route is not idempotent.
	// Default optional.
	Key KeyPolicy `json:"key,omitempty"`
	// Priority is the priority of the requests in the gate's queue. Default normal.
	Priority Priority `json:"priority,omitempty"`
	// Retries is the number of attempts after the first. Default 2, at most 5.
	// A pointer tells an explicit 0 from an unset value.
	Retries *int `json:"retries,omitempty"`
}

// Caller holds the settings of a partner or a service that sends requests.
type Caller struct {
	// Weight is the caller's relative share under contention. Default 1, at most 100.
	Weight int `json:"weight,omitempty"`
}

// DataCentre holds a data centre's region and its leaving mark.
type DataCentre struct {
	Region datacentre.Region `json:"region"`
	// Leaving drains the data centre: it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// HostMark holds the leaving mark of one host.
type HostMark struct {
	// Leaving drains the host: it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Duration is a time span that is encoded in JSON as a Go duration string such as
// "2s".
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

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
