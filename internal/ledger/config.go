// Package ledger remembers, in the memory of one gate, the keys of requests
// that ran, run or must never run there.
package ledger

import "time"

// Defaults of Config.
const (
	defaultHorizon        = 10 * time.Minute
	defaultMaxEntries     = 200_000
	defaultMaxAnswerBytes = 64 << 10
	defaultMaxBytes       = 64 << 20
)

// Config bounds a ledger.
type Config struct {
	// Horizon is how long a key is remembered. Default 10 min.
	Horizon time.Duration
	// MaxEntries is the number of keys held at once. Default 200,000.
	MaxEntries int
	// MaxAnswerBytes is the longest answer stored, in bytes. Default 64 KiB.
	MaxAnswerBytes int
	// MaxBytes bounds all stored answers together, in bytes. Default 64 MiB.
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
