// Package mesh holds what a node knows of the deployment: the configuration in
// force, the backend servers and the data centres that are taken out. Its
// values are immutable and swapped whole.
package mesh

import "time"

// Kind says how often a request may run.
type Kind uint8

// Kinds of request. The zero value is the strictest.
const (
	// KindUnsafe requests run at most once for each attempt of a caller.
	KindUnsafe Kind = iota
	// KindUpload requests are unsafe and have large bodies.
	KindUpload
	// KindSafe requests may run more than once.
	KindSafe
	// KindDownload requests may run more than once and have large answers.
	KindDownload
)

// Idempotent reports whether a request of the kind may run more than once.
func (k Kind) Idempotent() bool {
	return k == KindSafe || k == KindDownload
}

// Destination is one part of a route that is split between services.
type Destination struct {
	// Service is the name of the service.
	Service string
	// Weight is the part's proportion of the requests.
	Weight float64
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	// Name is the route's name in the configuration.
	Name string
	// Host is compared with the Host header, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind says how often a request may run.
	Kind Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is most useful.
	Objective time.Duration
	// Priority is the rank at a full server; 0 goes first.
	Priority int
	// Destinations has one element unless the route is split.
	Destinations []Destination
	// MaxAttempts bounds the servers that one request is sent to.
	MaxAttempts int
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	// Name is the service's name.
	Name string
	// HealthPath is the path of a server's health check.
	HealthPath string
	// MaxConnections bounds the connections to one server, from all callers.
	MaxConnections int
	// ColdStart is how long a server stays cold after it started.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold server bears.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time in which a request's head arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
}

// Config is one accepted version of the operators' configuration.
type Config struct {
	// Version orders the configurations.
	Version uint64
	// Routes are all routes.
	Routes []Route
	// Services are all services by name.
	Services map[string]Service
	// Limits bound what callers may send.
	Limits Limits
	// Defects are the parts that were not understood. They affect only the route or
	// service that they name.
	Defects []Defect
}

// Defect is a part of a configuration that was left out or taken with a stricter
// meaning than it may have.
type Defect struct {
	// Name is that of the route or service; empty when it can't be read either.
	Name string
	// Problem says what was not understood and what was done about it.
	Problem string
}
