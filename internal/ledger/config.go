// Package ledger stores, in the memory of one gate, the idempotency keys of requests that
// have run, are running or must never run there.
package ledger

import "time"

// Default values of Config.
const (
	defaultHorizon        = 10 * time.Minute
	defaultMaxEntries     = 200_000
	defaultMaxAnswerBytes = 64 << 10
	defaultMaxBytes       = 64 << 20
)

// Config holds the limits of a Ledger.
type Config struct {
	// Horizon is how long a key is kept after its request has ended. Default 10 min.
	Horizon time.Duration
	// MaxEntries is the maximum number of keys. Default 200,000.
	MaxEntries int
	// MaxAnswerBytes is the maximum size of a stored answer, in bytes. Default 64 KiB.
	MaxAnswerBytes int
	// MaxBytes is the maximum size of all stored answers, in bytes. Default 64 MiB.
	MaxBytes int
}

func (c Config) withDefaults() Config {
	if c.Horizon <= 0 {
		c.Horizon = defaultHorizon
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = defaultMaxEntries
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultMaxBytes
	}
	return c
}
