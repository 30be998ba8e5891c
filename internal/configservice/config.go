package configservice

import "time"

// Default values of Config fields.
const (
	defaultReadsPerSecond = 1.0
	defaultReadBurst      = 32
	defaultCallTimeout    = 5 * time.Second
	defaultListingTries   = 4
)

// Size limits of response bodies, in bytes.
const (
	maxValueBytes    = 1 << 20
	maxListingBytes  = 4 << 20
	maxHostListBytes = 8 << 20
)

// Config holds the settings of a Client.
type Config struct {
	// BaseURL is the URL of the configuration service, such as
	// "http://10.0.0.1:8500". Required.
	BaseURL string
	// ReadsPerSecond is the node's read budget for all calls, in calls per second.
	// Default 1, so that 1,800 nodes together never exceed 2,000 reads/s.
	ReadsPerSecond float64
	// ReadBurst is the maximum burst of calls. Default 32.
	ReadBurst int
	// CallTimeout is the timeout of one call. For a watch, its wait is added.
	// Default 5 s.
	CallTimeout time.Duration
	// ListingTries is the number of attempts that one read makes to get the same
	// listing before and after it fetches the files. Default 4.
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
