package configservice

import (
	"math/rand/v2"
	"time"
)

// Backoff generates retry delays with decorrelated jitter: each delay is random between
// Base and three times the previous delay, and at most Cap. See Marc Brooker,
// "Exponential Backoff And Jitter".
type Backoff struct {
	// Base is the minimum delay.
	Base time.Duration
	// Cap is the maximum delay.
	Cap  time.Duration
	last time.Duration
}

// Next returns the next delay.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	upper := max(b.last, b.Base) * 3
	wait := b.Base + time.Duration(random.Int64N(int64(upper-b.Base)+1))
	b.last = min(wait, b.Cap)
	return b.last
}

// Reset makes the next delay start from Base again.
func (b *Backoff) Reset() {
	b.last = 0
}
