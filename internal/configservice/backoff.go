package configservice

import (
	"math/rand/v2"
	"time"
)

// Backoff draws waits with decorrelated jitter: each wait lies between Base
// and three times the last one, at most Cap. The idea is that of Marc
// Brooker's article "Exponential Backoff And Jitter".
type Backoff struct {
	// Base is the shortest wait.
	Base time.Duration
	// Cap is the longest wait.
	Cap  time.Duration
	last time.Duration
}

// Next returns the next wait.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	upper := max(b.last, b.Base) * 3
	wait := b.Base + time.Duration(random.Int64N(int64(upper-b.Base)+1))
	b.last = min(wait, b.Cap)
	return b.last
}

// Reset starts again from Base.
func (b *Backoff) Reset() {
	b.last = 0
}
