// Package routing matches requests to routes and chooses the backend server
// that a request is sent to. All data read while a request is routed is either
// immutable and replaced through an atomic pointer, or a single atomic value.
//
// The choice is only a hint: the gate beside the backend server decides whether
// the request runs. A stale view costs an extra hop and never breaks a guarantee.
package routing

import "boragefall/internal/config"

// Route is a named route of the configuration.
type Route struct {
	// Name is the route's name in the configuration.
	Name string
	config.Route
}
