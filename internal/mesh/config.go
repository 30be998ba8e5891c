// Package mesh defines the deployment as a node sees it: the active configuration
// and the registered backend servers. Its values are immutable; an update replaces
// a value as a whole.
package mesh

import "time"

// Kind classifies the requests of a route by whether a server may execute them more
// than once and by the size of their bodies.
type Kind uint8

// Kinds of request. The zero value is the strictest.
const (
	// KindUnsafe requests are executed at most once per attempt of a caller.
	KindUnsafe Kind = iota
	// KindUpload requests are unsafe and have large request bodies.
	KindUpload
	// KindSafe requests may be executed more than once.
	KindSafe
	// KindDownload requests are safe and have large response bodies.
	KindDownload
)

// Idempotent reports whether a request of the kind may be executed more than once.
func (k Kind) Idempotent() bool {
	return k == KindSafe || k == KindDownload
}

// Destination is a weighted target of a route.
type Destination struct {
	// Service is the name of the target service.
	Service string
	// Weight is proportional to the share of requests that the service receives.
	Weight float64
}

// Route sends requests that match a host name and a path prefix to one or more
// services.
type Route struct {
	// Name is the name of the route in the configuration.
	Name string
	// Host is compared with the Host header of a request, without the port.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Kind classifies the requests of the route.
	Kind Kind
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// Objective is the target latency of a request.
	Objective time.Duration
	// Priority orders requests that wait for a fully loaded server, from 0, the highest
	// priority, to MaxPriority.
	Priority int
	// Destinations has one element unless traffic is split between services.
	Destinations []Destination
	// MaxAttempts limits the number of servers that one request is sent to.
	MaxAttempts int
	// Public reports that requests need no key.
	Public bool
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	// Name is the name of the service.
	Name string
	// HealthPath is the HTTP path of a server's health check.
	HealthPath string
	// MaxConnections limits the connections to one server, across all callers.
	MaxConnections int
	// ColdStart is the warm-up time of a server after it started.
	ColdStart time.Duration
	// ColdRate is the highest request rate, in requests per second, that a server
	// can handle during its warm-up.
	ColdRate float64
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes limits the size of the request line and headers.
	MaxHeaderBytes int
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// HeaderTimeout limits the time until the headers of a request have arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Config is one accepted version of the operators' configuration.
type Config struct {
	// Version increases with every configuration.
	Version uint64
	// Routes holds all routes.
	Routes []Route
	// Services holds all services by name.
	Services map[string]Service
	// Limits restricts the requests and connections of callers.
	Limits Limits
	// Workspaces finds the holder of a key. It is nil when the configuration has no
	// workspaces, and requests need no key then.
	Workspaces *WorkspaceTable
	// Defects lists the invalid parts of the configuration. A defect affects only the
	// route, service or workspace that it names.
	Defects []Defect
}

// Defect is an invalid part of a configuration. The part is ignored or replaced by
// the strictest value that it may have.
type Defect struct {
	// Name is the name of the route, service or workspace; empty when the name is invalid
	// too.
	Name string
	// Problem describes the invalid value and how it was handled.
	Problem string
}
