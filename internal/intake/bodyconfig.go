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

// BodyConfig tunes Bodies.
type BodyConfig struct {
	// Budget is the number of bytes that all buffered bodies hold. Default 64 MiB.
	Budget int64
	// MaxBuffered is the number of bytes up to which one body is buffered
	// whole; larger ones are streamed. Default 1 MiB.
	MaxBuffered int64
	// SmallBody is the announced size up to which a body may use the part of the
	// budget kept for small ones, and how much of a body is buffered that is
	// streamed anyway. Default 64 KiB.
	SmallBody int64
	// SmallPercent is that part of the budget in percent. Default 25.
	SmallPercent int64
	// MaxBody is the number of bytes beyond which a body is refused. Default 1 GiB.
	MaxBody int64
	// IdleTimeout is how long a caller may send nothing while its body is buffered.
	// Default 10 s.
	IdleTimeout time.Duration
	// StreamIdleTimeout is how long it may send nothing while a backend server waits.
	// Default 2 s.
	StreamIdleTimeout time.Duration
	// TotalTimeout bounds the time of the whole body. Default 5 min.
	TotalTimeout time.Duration
	// RetryAfter goes on refusals. Default 1 s.
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
