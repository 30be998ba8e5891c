package join

import "time"

const (
	defaultLinger     = 250 * time.Millisecond
	defaultMaxFlights = 4096
	defaultMaxWaiters = 256
	defaultRetryAfter = time.Second
)

// Config tunes a Group.
type Config[T any] struct {
	// Linger is how long an idempotent request goes on after its last waiter
	// left, for a caller that gives up and sends again at once. Default 250 ms.
	Linger time.Duration
	// MaxFlights is the number of requests in flight that others can join.
	// Further ones run unjoined. Default 4096.
	MaxFlights int
	// MaxWaiters is the number of callers that wait for one request. Further
	// ones are refused. Default 256.
	MaxWaiters int
	// RetryAfter goes on the refusal. Default 1 s.
	RetryAfter time.Duration
	// Discard releases an unshared answer that no waiter took. Default none.
	Discard func(T)
}

func (c Config[T]) withDefaults() Config[T] {
	if c.Linger <= 0 {
		c.Linger = defaultLinger
	}
	if c.MaxFlights <= 0 {
		c.MaxFlights = defaultMaxFlights
	}
	if c.MaxWaiters <= 0 {
		c.MaxWaiters = defaultMaxWaiters
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = defaultRetryAfter
	}
	if c.Discard == nil {
		c.Discard = func(T) {}
	}
	return c
}
