// Package join lets identical requests in flight share one run and its answer.
//
// A caller that gives up and sends again at once finds its first request still
// running and waits for that one's answer. One waiter's leaving never ends the
// others' work. When the last one leaves, an idempotent request lingers for a
// moment and is then cancelled; one that is not idempotent goes on until its
// deadline, since cancelling would only make its outcome unknown and the
// re-sent request could not be told what happened.
package join

import (
	"context"
	"errors"
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/verdict"
)

const shardCount = 32

// Group joins calls by key. It is safe for concurrent use.
type Group[K comparable, T any] struct {
	config  Config[T]
	seed    maphash.Seed
	flights atomic.Int64
	shards  [shardCount]shard[K, T]
}

// NewGroup returns an empty group.
func NewGroup[K comparable, T any](cfg Config[T]) *Group[K, T] {
	g := &Group[K, T]{config: cfg.withDefaults(), seed: maphash.MakeSeed()}
	for i := range g.shards {
		g.shards[i].flights = map[K]*flight[T]{}
	}
	return g
}

// Do runs the call, or waits for an identical one in flight. It returns the
// answer, the work's error, ErrNotShared, or a verdict error when ctx ends
// first or too many wait.
func (g *Group[K, T]) Do(ctx context.Context, call Call[K, T]) (T, error) {
	s := &g.shards[maphash.Comparable(g.seed, call.Key)%shardCount]
	s.mu.Lock()
	f := s.flights[call.Key]
	switch {
	case f != nil && f.waiters >= g.config.MaxWaiters:
		s.mu.Unlock()
		return g.tooMany()
	case f != nil:
		f.join()
		s.mu.Unlock()
	default:
		if g.flights.Add(1) > int64(g.config.MaxFlights) {
			s.mu.Unlock()
			g.flights.Add(-1)
			return g.alone(ctx, call)
		}
		f = g.launch(ctx, s, call)
		s.mu.Unlock()
	}
	select {
	case <-f.done:
		return g.take(ctx, s, f)
	case <-ctx.Done():
		return g.leave(ctx, s, f, call)
	}
}

func (g *Group[K, T]) launch(ctx context.Context, s *shard[K, T], call Call[K, T]) *flight[T] {
	f, workCtx := newFlight[T](ctx)
	f.waiters = 1
	s.flights[call.Key] = f
	go g.run(workCtx, s, f, call)
	return f
}

func (g *Group[K, T]) run(ctx context.Context, s *shard[K, T], f *flight[T], call Call[K, T]) {
	answer, err := guarded(ctx, call.Work)
	s.mu.Lock()
	f.answer, f.err, f.finished = answer, err, true
	if s.drop(call.Key, f) {
		g.flights.Add(-1)
	}
	orphaned := f.waiters == 0
	s.mu.Unlock()
	close(f.done)
	if orphaned && err == nil && !answer.Shared {
		g.config.Discard(answer.Value)
	}
	if orphaned || err != nil || answer.Shared {
		f.cancel()
	}
}

// guarded turns a panic of the work into an error, so that all waiters get it.
func guarded[T any](ctx context.Context, work func(context.Context) (Answer[T], error)) (answer Answer[T], err error) {
	defer func() {
		if v := recover(); v != nil {
			err = verdict.New(verdict.MayHaveRun, verdict.ReasonUnspecified, eris.Wrapf(ErrPanicked, "%v", v))
		}
	}()
	return work(ctx)
}

// take gives a finished flight's answer to one waiter.
func (g *Group[K, T]) take(ctx context.Context, s *shard[K, T], f *flight[T]) (T, error) {
	var none T
	s.mu.Lock()
	defer s.mu.Unlock()
	f.waiters--
	switch {
	case f.err != nil:
		return none, f.err
	case f.answer.Shared:
		return f.answer.Value, nil
	case f.taken:
		return none, ErrNotShared
	default:
		f.taken = true
		context.AfterFunc(ctx, f.cancel)
		return f.answer.Value, nil
	}
}

// leave takes a waiter out whose context ended.
func (g *Group[K, T]) leave(ctx context.Context, s *shard[K, T], f *flight[T], call Call[K, T]) (T, error) {
	var none T
	s.mu.Lock()
	f.waiters--
	last := f.waiters == 0
	unclaimed := last && f.finished && f.err == nil && !f.answer.Shared && !f.taken
	if last && !f.finished && call.Idempotent {
		f.linger = time.AfterFunc(g.config.Linger, func() { g.abandon(s, f, call.Key) })
	}
	s.mu.Unlock()
	if unclaimed {
		g.config.Discard(f.answer.Value)
		f.cancel()
	}
	return none, left(ctx)
}

// abandon cancels a flight that nobody joined while it lingered.
func (g *Group[K, T]) abandon(s *shard[K, T], f *flight[T], key K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.waiters > 0 || f.finished {
		return
	}
	if s.drop(key, f) {
		g.flights.Add(-1)
	}
	f.cancel()
}

// alone runs a call that nobody can join.
func (g *Group[K, T]) alone(ctx context.Context, call Call[K, T]) (T, error) {
	answer, err := guarded(ctx, call.Work)
	return answer.Value, err
}

// tooMany refuses a waiter. The request that it would have joined goes on, so
// the verdict is MayHaveRun.
func (g *Group[K, T]) tooMany() (T, error) {
	var none T
	failure := verdict.New(verdict.MayHaveRun, verdict.ReasonOverloaded, nil)
	failure.RetryAfter = g.config.RetryAfter
	return none, failure
}

// left is the error of a waiter whose context ended while the work goes on.
func left(ctx context.Context) error {
	reason := verdict.ReasonCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = verdict.ReasonDeadline
	}
	return verdict.New(verdict.MayHaveRun, reason, ctx.Err())
}
