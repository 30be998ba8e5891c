package retry

import "time"

const (
	defaultRetryPercent   = 10
	defaultMovePercent    = 100
	defaultRetryBurst     = 10
	defaultMoveBurst      = 100
	defaultMaxMoves       = 3
	defaultOverloadMoves  = 1
	defaultMinRemaining   = 5 * time.Millisecond
	defaultRetryAfter     = time.Second
	defaultHopLimit       = 32
	defaultKeyedReasks    = 1
	defaultKeyedRefreshes = 1
)

// Config tunes a Policy.
type Config struct {
	// RetryPercent is the number of retries after MayHaveRun for each hundred
	// requests of a service. Default 10.
	RetryPercent int
	// RetryBurst is the number of such retries that a service may make at once
	// after a quiet time. Default 10.
	RetryBurst int
	// MovePercent is the number of moves after NotRun for each hundred requests
	// of a service. Default 100.
	MovePercent int
	// MoveBurst is the number of moves that a service may make at once after a
	// quiet time. Default 100.
	MoveBurst int
	// MaxMoves is the number of moves of one request at one hop. Default 3.
	MaxMoves int
	// MaxOverloadMoves is how many of them may follow a refusal for overload.
	// Default 1.
	MaxOverloadMoves int
	// MinRemaining is the time before the deadline from which no attempt
	// starts. Default 5 ms.
	MinRemaining time.Duration
	// RetryAfter goes on a final error that states none. Default 1 s.
	RetryAfter time.Duration
	// HopLimit is the number of hops from which no attempt starts. Default 32.
	HopLimit uint32
}

func (c Config) withDefaults() Config {
	setDefault(&c.RetryPercent, defaultRetryPercent)
	setDefault(&c.RetryBurst, defaultRetryBurst)
	setDefault(&c.MovePercent, defaultMovePercent)
	setDefault(&c.MoveBurst, defaultMoveBurst)
	setDefault(&c.MaxMoves, defaultMaxMoves)
	setDefault(&c.MaxOverloadMoves, defaultOverloadMoves)
	setDefault(&c.MinRemaining, defaultMinRemaining)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	setDefault(&c.HopLimit, defaultHopLimit)
	return c
}

func setDefault[T int | uint32 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
