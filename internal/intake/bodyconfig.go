package intake

import "time"

const (
	defaultBudget            = 64 << 20
	defaultMaxBuffered       = 1 << 20
	defaultSmallBody         = 64 << 10
	defaultSmallPercent      = 25
	defaultMaxBody           = 1 << 30
	defaultIdleTimeout       = 10 * time.Second
	defaultStreamIdleTimeout = 2 * time.Second
	defaultTotalTimeout      = 5 * time.Minute
)

// BodyConfig holds the limits of a BodyBuffer.
type BodyConfig struct {
	// Budget is the maximum number of bytes of all buffered bodies. Default 64 MiB.
	Budget int64
	// MaxBuffered is the size in bytes up to which a body is buffered whole; larger ones are
	// streamed. Default 1 MiB.
	MaxBuffered int64
	// SmallBody is the announced size up to which a body may use the part of the budget
	// reserved for small bodies. It is also the number of bytes buffered of a body that is
	// too large to buffer whole. Default 64 KiB.
	SmallBody int64
	// SmallPercent is the part of Budget reserved for small bodies, in percent. Default 25.
	SmallPercent int64
	// MaxBody is the maximum size of a body in bytes; larger ones are refused. Default 1 GiB.
	MaxBody int64
	// IdleTimeout is how long a caller may send nothing while its body is buffered.
	// Default 10 s.
	IdleTimeout time.Duration
	// StreamIdleTimeout is how long a caller may send nothing while its body is streamed to
	// a waiting backend server. Default 2 s.
	StreamIdleTimeout time.Duration
	// TotalTimeout bounds the time to receive the whole body. Default 5 min.
	TotalTimeout time.Duration
	// RetryAfter is the Retry-After of refusals. Default 1 s.
	RetryAfter time.Duration
}

func (c BodyConfig) withDefaults() BodyConfig {
	setDefault(&c.Budget, defaultBudget)
	setDefault(&c.MaxBuffered, defaultMaxBuffered)
	setDefault(&c.SmallBody, defaultSmallBody)
	setDefault(&c.SmallPercent, defaultSmallPercent)
	setDefault(&c.MaxBody, defaultMaxBody)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.StreamIdleTimeout, defaultStreamIdleTimeout)
	setDefault(&c.TotalTimeout, defaultTotalTimeout)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	return c
}
