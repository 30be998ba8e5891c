package membership

import "time"

// Defaults of Config.
const (
	defaultRetransmits            = 4
	defaultLeavingRetransmits     = 8
	defaultUnlistedRetention      = 30 * time.Second
	defaultSuspicionTimeout       = 5 * time.Second
	defaultUnlistedContactTimeout = 10 * time.Second
)

// Config holds the settings of a Registry. Zero fields take their defaults.
type Config struct {
	// Retransmits is how many times a node pushes a changed record to its peers.
	// Default 4.
	Retransmits int
	// LeavingRetransmits is how many times a node pushes a changed record whose state is
	// leaving. Default 8.
	LeavingRetransmits int
	// UnlistedRetention is how long the record of a host that is missing from the host
	// list is kept after its last change. Default 30 s.
	UnlistedRetention time.Duration
	// SuspicionTimeout is how long a host stays suspect after this node failed to reach
	// it. Default 5 s.
	SuspicionTimeout time.Duration
	// UnlistedContactTimeout is how long a host that was removed from the host list stays
	// usable after it answered this node. Default 10 s.
	UnlistedContactTimeout time.Duration
}

func (c Config) withDefaults() Config {
	if c.Retransmits <= 0 {
		c.Retransmits = defaultRetransmits
	}
	if c.LeavingRetransmits <= 0 {
		c.LeavingRetransmits = defaultLeavingRetransmits
	}
	if c.UnlistedRetention <= 0 {
		c.UnlistedRetention = defaultUnlistedRetention
	}
	if c.SuspicionTimeout <= 0 {
		c.SuspicionTimeout = defaultSuspicionTimeout
	}
	if c.UnlistedContactTimeout <= 0 {
		c.UnlistedContactTimeout = defaultUnlistedContactTimeout
	}
	return c
}
