package sidecar

import (
	"context"
	"io"
	"sync"
	"time"
)

// answerPacer paces the large answers of this host's server: they are sent one at a
// time, at the share of the host's link that is expected to be free for them. Sent
// concurrently, they would finish no sooner, and small answers of the same host would
// queue behind a TCP window of each. It is safe for concurrent use.
type answerPacer struct {
	// rate is in bytes per second.
	rate int64

	mu sync.Mutex
	// freeAt is when all answers admitted so far have been sent.
	freeAt time.Time
}

// queueDelay returns the time until all answers admitted so far have been sent.
func (a *answerPacer) queueDelay(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.freeAt.Sub(now), 0)
}

// transferTime returns the time that sending n bytes takes.
func (a *answerPacer) transferTime(n int64) time.Duration {
	if a.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(a.rate) * float64(time.Second))
}

// reserve queues an answer of n bytes and returns the delay until it may be sent.
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

// pacedBody delays an answer's body until its reserved time on the link.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	delay time.Duration
}

// Read waits once for the reserved time. It fails if ctx ends first.
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
