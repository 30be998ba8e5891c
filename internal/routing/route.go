// Package routing matches requests to routes and chooses the backend server
// that a request is sent to. Everything that the path of a request reads is
// immutable and swapped by an atomic pointer, or is a single atomic counter.
//
// A choice is a hint: the gate beside the backend server decides whether the
// request runs, so a stale view costs a hop and never a promise.
package routing

import "boragefall/internal/config"

// Route is a named route of the configuration.
type Route struct {
	// Name is the route's name in the configuration.
	Name string
	config.Route
}
