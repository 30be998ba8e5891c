package membership

import "time"

// Defaults of Config.
const (
	defaultRumourCopies  = 4
	defaultLeavingCopies = 8
	defaultUnlistedFor   = 30 * time.Second
	defaultSuspectFor    = 5 * time.Second
	defaultFirstHandFor  = 10 * time.Second
)

// Config holds the settings of a Registry. Zero fields take their defaults.
type Config struct {
	// RumourCopies is how many times a node passes on a changed record.
	// Default 4.
	RumourCopies int
	// LeavingCopies is the same for a record that says leaving. Default 8.
	LeavingCopies int
	// UnlistedFor is how long the record of a host that the host list does not
	// name is kept after it changed. Default 30 s.
	UnlistedFor time.Duration
	// SuspectFor is how long a host stays suspect after a failed contact.
	// Default 5 s.
	SuspectFor time.Duration
	// FirstHandFor is how long a host that the list no longer names stays
	// usable after it answered this node. Default 10 s.
	FirstHandFor time.Duration
}

func (c Config) withDefaults() Config {
	if c.RumourCopies <= 0 {
		c.RumourCopies = defaultRumourCopies
	}
	if c.LeavingCopies <= 0 {
		c.LeavingCopies = defaultLeavingCopies
	}
	if c.UnlistedFor <= 0 {
		c.UnlistedFor = defaultUnlistedFor
	}
	if c.SuspectFor <= 0 {
		c.SuspectFor = defaultSuspectFor
	}
	if c.FirstHandFor <= 0 {
		c.FirstHandFor = defaultFirstHandFor
	}
	return c
}
