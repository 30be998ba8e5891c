package retry

import (
	"cmp"
	"time"
)

const (
	defaultRetryPercent        = 10
	defaultReroutePercent      = 100
	defaultRetryBurst          = 10
	defaultRerouteBurst        = 100
	defaultMaxReroutes         = 3
	defaultMaxOverloadReroutes = 1
	defaultMinRemaining        = 5 * time.Millisecond
	defaultRetryAfter          = time.Second
	defaultHopLimit            = 32
	maxOwnerRetries            = 1
	maxViewRefreshes           = 1
)

// Config holds the limits of a Policy.
type Config struct {
	// RetryPercent is the number of retries after MayHaveRun per hundred requests of a
	// service. Default 10.
	RetryPercent int
	// RetryBurst is the number of retries after MayHaveRun that a service may make at
	// once while its budget is full. Default 10.
	RetryBurst int
	// ReroutePercent is the number of reroutes after NotRun per hundred requests of a
	// service. Default 100.
	ReroutePercent int
	// RerouteBurst is the number of reroutes that a service may make at once while its
	// budget is full. Default 100.
	RerouteBurst int
	// MaxReroutes is the maximum number of reroutes of one request at one hop. Default 3.
	MaxReroutes int
	// MaxOverloadReroutes is how many of MaxReroutes may follow a refusal for overload.
	// Default 1.
	MaxOverloadReroutes int
	// MinRemaining is the time that must be left until the deadline for another attempt
	// to start. Default 5 ms.
	MinRemaining time.Duration
	// RetryAfter is the Retry-After of a final error that has none. Default 1 s.
	RetryAfter time.Duration
	// HopLimit is the hop count from which no further attempt starts. Default 32.
	HopLimit uint32
}

func (c Config) withDefaults() Config {
	c.RetryPercent = cmp.Or(c.RetryPercent, defaultRetryPercent)
	c.RetryBurst = cmp.Or(c.RetryBurst, defaultRetryBurst)
	c.ReroutePercent = cmp.Or(c.ReroutePercent, defaultReroutePercent)
	c.RerouteBurst = cmp.Or(c.RerouteBurst, defaultRerouteBurst)
	c.MaxReroutes = cmp.Or(c.MaxReroutes, defaultMaxReroutes)
	c.MaxOverloadReroutes = cmp.Or(c.MaxOverloadReroutes, defaultMaxOverloadReroutes)
	c.MinRemaining = cmp.Or(c.MinRemaining, defaultMinRemaining)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	c.HopLimit = cmp.Or(c.HopLimit, defaultHopLimit)
	return c
}
