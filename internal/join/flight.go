package join

import (
	"context"
	"time"
)

// flight is one request in progress and those who wait for it. Its shard's
// lock guards all fields but done, and answer and err once done is closed.
type flight[T any] struct {
	done     chan struct{}
	cancel   context.CancelFunc
	waiters  int
	finished bool
	taken    bool // the unshared answer has its waiter
	linger   *time.Timer
	answer   Answer[T]
	err      error
}

// newFlight returns a flight with its context, which keeps the values and the
// deadline of the first waiter but not its cancellation.
func newFlight[T any](first context.Context) (*flight[T], context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(first))
	f := &flight[T]{done: make(chan struct{}), cancel: cancel}
	deadline, ok := first.Deadline()
	if !ok {
		return f, ctx
	}
	ctx, stop := context.WithDeadline(ctx, deadline)
	f.cancel = func() {
		stop()
		cancel()
	}
	return f, ctx
}

// join counts one more waiter.
func (f *flight[T]) join() {
	f.waiters++
	if f.linger != nil {
		f.linger.Stop()
		f.linger = nil
	}
}
