package sidecar

import (
	"context"
	"io"
	"sync"
	"time"
)

// answerPacer lets the large answers of this host's server leave one after the other,
// at the part of the host's link that is expected to be free for them. All at once
// they arrive no sooner, and lookups of the same host wait behind a window of each. It
// is safe for concurrent use.
type answerPacer struct {
	// rate is in bytes a second.
	rate int64

	mu sync.Mutex
	// freeAt is when the answers that were let go have left.
	freeAt time.Time
}

// queueDelay returns the time until the answers that were let go have left.
func (a *answerPacer) queueDelay(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.freeAt.Sub(now), 0)
}

// transferTime returns the time in which a number of bytes leaves.
func (a *answerPacer) transferTime(n int64) time.Duration {
	if a.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(a.rate) * float64(time.Second))
}

// reserve takes the next place for an answer and returns how long that is away.
func (a *answerPacer) reserve(n int64, now time.Time) time.Duration {
	transfer := a.transferTime(n)
	a.mu.Lock()
	defer a.mu.Unlock()
	start := now
	if a.freeAt.After(start) {
		start = a.freeAt
	}
	a.freeAt = start.Add(transfer)
	return start.Sub(now)
}

// pacedBody is an answer's body that waits for its place on the link.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	delay time.Duration
}

// Read waits once, and fails when nobody waits for the answer any more.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.delay > 0 {
		timer := time.NewTimer(b.delay)
		defer timer.Stop()
		b.delay = 0
		select {
		case <-timer.C:
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	return b.ReadCloser.Read(p)
}
