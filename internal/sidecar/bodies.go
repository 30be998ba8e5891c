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
	// peerBodyMemoryDivisor is the part of the permitted memory for bodies that wait for the
	// server.
	peerBodyMemoryDivisor = 8
	// bitsPerByte turns the link's rate into bytes.
	bitsPerByte = 8
)

// bodyReceiver takes the bodies of other hosts' requests in before they get one of
// the server's slots: over a narrow link a body takes longer than its request.
type bodyReceiver struct {
	// rate is in bytes a second.
	rate int64
	// budget bounds the bytes under way and held.
	budget int64
	// inFlight counts the bytes that are still to arrive, buffered those in memory.
	inFlight, buffered atomic.Int64
	queue              bodyQueue
}

func newBodyReceiver(linkMbps float64, memoryMB int) *bodyReceiver {
	return &bodyReceiver{
		rate:   int64(linkShare * linkMbps * 1e6 / bitsPerByte),
		budget: int64(memoryMB) << 20 / peerBodyMemoryDivisor,
	}
}

// queueDelay returns the time until what is under way, or waits for its turn, has
// arrived.
func (b *bodyReceiver) queueDelay() time.Duration {
	return b.transferTime(b.inFlight.Load())
}

// transferTime returns the time in which a number of bytes arrives.
func (b *bodyReceiver) transferTime(n int64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(b.rate) * float64(time.Second))
}

// receive reads the body of a request in its turn, unless it is held already, its
// length is not known or there is no room; then it is read while the server runs
// the request. release gives the memory back.
func (b *bodyReceiver) receive(ctx context.Context, r *contract.Request) (release func(), err error) {
	noRelease := func() {}
	if r.BodyHeld || r.ContentLength <= 0 || b.buffered.Add(r.ContentLength) > b.budget {
		if !r.BodyHeld && r.ContentLength > 0 {
			b.buffered.Add(-r.ContentLength)
		}
		return noRelease, nil
	}
	release = func() { b.buffered.Add(-r.ContentLength) }
	remaining := r.ContentLength
	b.inFlight.Add(remaining)
	defer func() { b.inFlight.Add(-remaining) }()
	finish, err := b.queue.acquire(ctx, b.transferTime(remaining))
	if err != nil {
		release()
		// Proof: the body was not even asked for.
		return noRelease, verdict.New(verdict.NotRun, verdict.ReasonCanceled, err)
	}
	defer finish()
	body := make([]byte, r.ContentLength)
	for offset := 0; offset < len(body); {
		n, err := r.Body.Read(body[offset:])
		offset += n
		remaining -= int64(n)
		b.inFlight.Add(-int64(n))
		if err != nil && offset < len(body) {
			release()
			// Proof: the body did not arrive, so nothing was handed to the server.
			return noRelease, verdict.New(verdict.NotRun, verdict.ReasonCanceled, eris.Wrap(err, "take the body in"))
		}
	}
	r.Body, r.BodyHeld = io.Reader(bytes.NewReader(body)), true
	return release, nil
}
