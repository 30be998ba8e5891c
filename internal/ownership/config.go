// Package ownership decides which gate of a service may run a caller's keyed
// request: the one on the first host by rendezvous hash, as long as contact with its
// peers proves that no other gate may run the key.
//
// The proof is in docs/design/at-most-once.md.
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

// leaseMargin is added to the lease before a host relies on the expiry of other hosts'
// leases. It covers clocks that run at different speeds.
const leaseMargin = 500 * time.Millisecond

// retryAfter is the Retry-After sent with a refusal.
const retryAfter = time.Second

// Config configures the timing of a StateMachine.
type Config struct {
	// Lease is how long an answered heartbeat proves contact, counted from when its
	// request was sent. Default 5 s.
	Lease time.Duration
	// ClockBound is the largest difference between the clocks of two hosts. Default 2
	// s.
	ClockBound time.Duration
	// Horizon is how long a key is remembered, and how long after its removal from the
	// list a host is presumed stopped. Default 10 min.
	Horizon time.Duration
	// ResendWindow is how long after ownership began untimed keys are refused, if the
	// claim states no window. Default 20 s.
	ResendWindow time.Duration
	// BootstrapWait is how long a process that knows of no settled peer must have been
	// in contact with every listed host before it sets a floor. Default Lease.
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

// keyMargin returns how much later than the start of ownership a key must have been
// created: the earlier owner ran keys up to ClockBound ahead of its clock, which may
// itself have been ClockBound ahead of this host's.
func (c Config) keyMargin() time.Duration {
	return 2 * c.ClockBound
}
