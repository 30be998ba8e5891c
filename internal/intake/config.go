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

// Config tunes an Admitter.
type Config struct {
	// Slots is the number of requests that the entry holds at once. Default 1024.
	Slots int
	// UncontendedPercent is the part of Slots and of Rate, in percent, up to which any
	// caller may exceed its share. Default 70.
	UncontendedPercent int
	// Rate is the number of requests per second that the entry takes. Default 5000.
	Rate int
	// Burst is how far ahead of its rate a caller may be. Default 250 ms.
	Burst time.Duration
	// ActiveWindow is how long a caller that sends nothing keeps its share.
	// Default 5 s.
	ActiveWindow time.Duration
	// UnlistedWeight is the weight of all callers together that the
	// configuration does not list. Default 1.
	UnlistedWeight int
	// MaxUnlisted is the number of unlisted callers remembered. Default 4096.
	MaxUnlisted int
	// RetryAfter goes on the first refusal of a caller. Default 1 s.
	RetryAfter time.Duration
	// MaxRetryAfter bounds its growth. Default 30 s.
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
