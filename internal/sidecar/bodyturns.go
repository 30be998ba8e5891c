package sidecar

import (
	"context"
	"sync"
	"time"
)

// bodyTurns lets the bodies that go over the host's link arrive one after the
// other. All at once they arrive no sooner, and whatever is small waits behind the
// parts of each of them.
//
// A body that comes slower than the link permits, since its sender's link is
// narrower or stalls, keeps the others back no longer than its share of the link. So the wait is at
// most what the gate foresaw, also when one sender after the other stalls.
type bodyTurns struct {
	mu sync.Mutex
	// arriving counts the bodies whose turn it is.
	arriving int
	// nextAt is when the next one may start although one is still arriving.
	nextAt  time.Time
	waiting []*turn
	wake    *time.Timer
}

// turn is one body's place.
type turn struct {
	// takes is the time in which the body arrives on a link of its own.
	takes   time.Duration
	started chan struct{}
}

// await waits for the turn of a body that arrives in a time. The turn ends with
// done; an error means that the context ended first and there is none.
func (b *bodyTurns) await(ctx context.Context, takes time.Duration) (done func(), err error) {
	t := &turn{takes: takes, started: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, t)
	b.next(time.Now())
	b.mu.Unlock()
	select {
	case <-t.started:
		return b.done, nil
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
	return b.done, nil
}

func (b *bodyTurns) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving--
	b.next(time.Now())
}

// next starts the bodies whose turn it is and arranges its next call.
func (b *bodyTurns) next(now time.Time) {
	for len(b.waiting) > 0 {
		if b.arriving > 0 && now.Before(b.nextAt) {
			b.wakeIn(b.nextAt.Sub(now))
			return
		}
		t := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.arriving++
		b.nextAt = now.Add(t.takes)
		close(t.started)
	}
}

func (b *bodyTurns) wakeIn(d time.Duration) {
	if b.wake != nil {
		b.wake.Reset(d)
		return
	}
	b.wake = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.next(time.Now())
	})
}
