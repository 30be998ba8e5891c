package sidecar

import (
	"context"
	"sync"
	"time"
)

// bodyQueue lets the bodies that go over the host's link arrive one after the
// other. All at once they arrive no sooner, and whatever is small waits behind the
// parts of each of them.
//
// A body that comes slower than the link permits, since its sender's link is
// narrower or stalls, keeps the others back no longer than its share of the link. So the wait is at
// most what the gate foresaw, also when one sender after the other stalls.
type bodyQueue struct {
	mu sync.Mutex
	// active counts the bodies whose turn it is.
	active int
	// nextStartAt is when the next one may start although one is still arriving.
	nextStartAt time.Time
	waiting     []*bodyTransfer
	timer       *time.Timer
}

// bodyTransfer is one body's place.
type bodyTransfer struct {
	// duration is the time in which the body arrives on a link of its own.
	duration time.Duration
	started  chan struct{}
}

// acquire waits for the turn of a body that arrives in a time. The turn ends with
// release; an error means that the context ended first and there is none.
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

// startNext starts the bodies whose turn it is and arranges its startNext call.
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
