package intake

import "time"

const (
	defaultSlots              = 1024
	defaultUncontendedPercent = 70
	defaultRate               = 5000
	defaultBurst              = 250 * time.Millisecond
	defaultActiveWindow       = 5 * time.Second
	defaultUnlistedWeight     = 1
	defaultMaxUnlisted        = 4096
	defaultRetryAfter         = time.Second
	defaultMaxRetryAfter      = 30 * time.Second
)

// Config holds the limits of an Admitter.
type Config struct {
	// Slots is the maximum number of requests in flight at the entry node. Default 1024.
	Slots int
	// UncontendedPercent is the part of Slots and of Rate, in percent, up to which any
	// caller may exceed its share. Default 70.
	UncontendedPercent int
	// Rate is the maximum number of requests per second of the entry node. Default 5000.
	Rate int
	// Burst is how far a caller may be ahead of its rate, as a time. Default 250 ms.
	Burst time.Duration
	// ActiveWindow is how long the share of a caller stays reserved after its last request.
	// Default 5 s.
	ActiveWindow time.Duration
	// UnlistedWeight is the common weight of all callers that the configuration does not
	// list. Default 1.
	UnlistedWeight int
	// MaxUnlisted is the maximum number of unlisted callers that are tracked. Default 4096.
	MaxUnlisted int
	// RetryAfter is the Retry-After of the first refusal of a caller. Default 1 s.
	RetryAfter time.Duration
	// MaxRetryAfter is the upper limit of the Retry-After backoff. Default 30 s.
	MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.UncontendedPercent, defaultUncontendedPercent)
	setDefault(&c.Rate, defaultRate)
	setDefault(&c.Burst, defaultBurst)
	setDefault(&c.ActiveWindow, defaultActiveWindow)
	setDefault(&c.UnlistedWeight, defaultUnlistedWeight)
	setDefault(&c.MaxUnlisted, defaultMaxUnlisted)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	setDefault(&c.MaxRetryAfter, defaultMaxRetryAfter)
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
