package sidecar

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

const (
	// linkShare is the part of the host's link on which bodies for its server are
	// expected to arrive; the rest is for answers and requests of its own callers.
	linkShare = 0.7
	// heldShare is the part of the permitted memory for bodies that wait for the
	// server.
	heldShare = 8
	// bitsPerByte turns the link's rate into bytes.
	bitsPerByte = 8
)

// bodyIntake takes the bodies of other hosts' requests in before they get one of
// the server's slots: over a narrow link a body takes longer than its request.
type bodyIntake struct {
	// rate is in bytes a second.
	rate int64
	// budget bounds the bytes under way and held.
	budget int64
	// underWay counts the bytes that are still to arrive, held those in memory.
	underWay, held atomic.Int64
	turns          bodyTurns
}

func newBodyIntake(linkMbps float64, memoryMB int) *bodyIntake {
	return &bodyIntake{
		rate:   int64(linkShare * linkMbps * 1e6 / bitsPerByte),
		budget: int64(memoryMB) << 20 / heldShare,
	}
}

// wait returns the time until what is under way, or waits for its turn, has
// arrived.
func (b *bodyIntake) wait() time.Duration {
	return b.timeOf(b.underWay.Load())
}

// timeOf returns the time in which a number of bytes arrives.
func (b *bodyIntake) timeOf(n int64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(b.rate) * float64(time.Second))
}

// take reads the body of a request in its turn, unless it is held already, its
// length is not known or there is no room; then it is read while the server runs
// the request. release gives the memory back.
func (b *bodyIntake) take(ctx context.Context, r *contract.Request) (release func(), err error) {
	nothing := func() {}
	if r.BodyHeld || r.ContentLength <= 0 || b.held.Add(r.ContentLength) > b.budget {
		if !r.BodyHeld && r.ContentLength > 0 {
			b.held.Add(-r.ContentLength)
		}
		return nothing, nil
	}
	release = func() { b.held.Add(-r.ContentLength) }
	left := r.ContentLength
	b.underWay.Add(left)
	defer func() { b.underWay.Add(-left) }()
	done, err := b.turns.await(ctx, b.timeOf(left))
	if err != nil {
		release()
		// Proof: the body was not even asked for.
		return nothing, verdict.New(verdict.NotRun, verdict.ReasonCanceled, err)
	}
	defer done()
	body := make([]byte, r.ContentLength)
	for at := 0; at < len(body); {
		n, err := r.Body.Read(body[at:])
		at += n
		left -= int64(n)
		b.underWay.Add(-int64(n))
		if err != nil && at < len(body) {
			release()
			// Proof: the body did not arrive, so nothing was handed to the server.
			return nothing, verdict.New(verdict.NotRun, verdict.ReasonCanceled, eris.Wrap(err, "take the body in"))
		}
	}
	r.Body, r.BodyHeld = io.Reader(bytes.NewReader(body)), true
	return release, nil
}
