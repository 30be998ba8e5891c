// Package ownership decides which gate of a service may run a caller's keyed
// request: the first host by rendezvous hash, as long as contact with its peers
// proves that no other gate can take the key.
//
// The proof stands in docs/design/at-most-once.md.
package ownership

import (
	"time"

	"boragefall/internal/idempotency"
)

// Defaults of Config.
const (
	defaultLease        = 5 * time.Second
	defaultHorizon      = 10 * time.Minute
	defaultResendWindow = 20 * time.Second
)

// leaseMargin is added to the lease before a host acts on the end of others'
// leases; it covers clocks that run at different speeds.
const leaseMargin = 500 * time.Millisecond

// retryAfter is what a refused caller is told to wait.
const retryAfter = time.Second

// Config sets the times of a Machine.
type Config struct {
	// Lease is how long an answered heartbeat proves contact, counted from the
	// sending of its request. Default 5 s.
	Lease time.Duration
	// ClockBound is the largest difference of two hosts' clocks. Default 2 s.
	ClockBound time.Duration
	// Horizon is how long a key is remembered, and after which a host that the
	// list dropped counts as stopped. Default 10 min.
	Horizon time.Duration
	// ResendWindow is how long untimed keys are refused after ownership began,
	// where the claim states none. Default 20 s.
	ResendWindow time.Duration
	// BootstrapWait is how long a process that knows of no settled peer must
	// have been in contact with every listed host. Default Lease.
	BootstrapWait time.Duration
}

func (c Config) withDefaults() Config {
	if c.Lease <= 0 {
		c.Lease = defaultLease
	}
	if c.ClockBound <= 0 {
		c.ClockBound = idempotency.ClockBound
	}
	if c.Horizon <= 0 {
		c.Horizon = defaultHorizon
	}
	if c.ResendWindow <= 0 {
		c.ResendWindow = defaultResendWindow
	}
	if c.BootstrapWait <= 0 {
		c.BootstrapWait = c.Lease
	}
	return c
}

// keyMargin is how much later than the start of ownership a key must have been
// made: the earlier owner ran keys up to ClockBound ahead of its clock, which
// may have been ClockBound ahead of this host's.
func (c Config) keyMargin() time.Duration {
	return 2 * c.ClockBound
}
