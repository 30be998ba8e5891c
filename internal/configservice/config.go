package configservice

import "time"

// Defaults of Config.
const (
	defaultReadsPerSecond = 1.0
	defaultReadBurst      = 32
	defaultCallTimeout    = 5 * time.Second
	defaultListingTries   = 4
)

// Size limits of answers, in bytes.
const (
	maxValueBytes    = 1 << 20
	maxListingBytes  = 4 << 20
	maxHostListBytes = 8 << 20
)

// Config holds the settings of a Client.
type Config struct {
	// BaseURL is the service's address, such as "http://10.0.0.1:8500". Required.
	BaseURL string
	// ReadsPerSecond is the node's read budget over all calls, in calls per
	// second. Default 1, so that 1,800 nodes stay under 2,000 reads/s whatever
	// they do.
	ReadsPerSecond float64
	// ReadBurst is the number of calls that may follow each other at once.
	// Default 32.
	ReadBurst int
	// CallTimeout bounds one call, besides the wait of a watch. Default 5 s.
	CallTimeout time.Duration
	// ListingTries is the number of listings that one read compares with the
	// first. Default 4.
	ListingTries int
}

func (c Config) withDefaults() Config {
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = defaultReadsPerSecond
	}
	if c.ReadBurst <= 0 {
		c.ReadBurst = defaultReadBurst
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.ListingTries <= 0 {
		c.ListingTries = defaultListingTries
	}
	return c
}
