package dispatch

import (
	"io"
	"sync"
	"time"

	"boragefall/internal/routing"
	"boragefall/internal/verdict"
)

// countedBody wraps the body of an answer. The request counts as outstanding in the
// server's statistics until the body is closed.
type countedBody struct {
	io.ReadCloser
	stats   *routing.Stats
	started time.Time
	once    sync.Once
	failure error
}

// Read reads the body and records a failure when it ends early.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failure = verdict.New(verdict.Ran, verdict.ReasonCutAnswer, err)
	}
	return n, err
}

// Close closes the body and records the outcome of the request.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.stats.Finish(routing.Outcome{At: time.Now(), Latency: time.Since(b.started), Err: b.failure})
	})
	return err
}
