package sidecar

import (
	"context"
	"sync"
	"time"
)

// bodyQueue lets bodies arrive over the host's link one at a time. Received
// concurrently, they would finish no sooner, and small messages would queue behind a
// part of each.
//
// A body that arrives more slowly than the link permits, because its sender's link is
// narrower or stalls, delays the others by no more than its own transfer time. So the
// wait never exceeds what the gate predicted, even when several senders stall in turn.
type bodyQueue struct {
	mu sync.Mutex
	// active counts the bodies being received.
	active int
	// nextStartAt is when the next body may start while another one is still active.
	nextStartAt time.Time
	waiting     []*bodyTransfer
	timer       *time.Timer
}

// bodyTransfer is one body in the queue.
type bodyTransfer struct {
	// duration is how long the transfer takes on an otherwise idle link.
	duration time.Duration
	started  chan struct{}
}

// acquire waits until a body whose transfer takes duration may be received. The caller
// must call release after the transfer. An error means that ctx ended first; there is
// nothing to release then.
func (b *bodyQueue) acquire(ctx context.Context, duration time.Duration) (release func(), err error) {
	t := &bodyTransfer{duration: duration, started: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, t)
	b.startNext(time.Now())
	b.mu.Unlock()
	select {
	case <-t.started:
		return b.release, nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiting {
		if w == t {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return nil, ctx.Err()
		}
	}
	return b.release, nil
}

func (b *bodyQueue) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
	b.startNext(time.Now())
}

// startNext starts the transfers that may begin and schedules its next call.
func (b *bodyQueue) startNext(now time.Time) {
	for len(b.waiting) > 0 {
		if b.active > 0 && now.Before(b.nextStartAt) {
			b.startNextIn(b.nextStartAt.Sub(now))
			return
		}
		t := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.active++
		b.nextStartAt = now.Add(t.duration)
		close(t.started)
	}
}

func (b *bodyQueue) startNextIn(d time.Duration) {
	if b.timer != nil {
		b.timer.Reset(d)
		return
	}
	b.timer = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.startNext(time.Now())
	})
}
