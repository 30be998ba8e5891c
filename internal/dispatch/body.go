package dispatch

import (
	"io"
	"sync"
	"time"

	"boragefall/internal/routing"
	"boragefall/internal/verdict"
)

// countedBody ends the server's count of an outstanding request once the
// answer was read or closed.
type countedBody struct {
	io.ReadCloser
	stats   *routing.Stats
	started time.Time
	once    sync.Once
	failure error
}

// Read notes an answer that breaks off.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failure = verdict.New(verdict.Ran, verdict.ReasonCutAnswer, err)
	}
	return n, err
}

// Close ends the answer and the count.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.stats.Finish(routing.Outcome{At: time.Now(), Latency: time.Since(b.started), Err: b.failure})
	})
	return err
}
