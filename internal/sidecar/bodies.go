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
	// linkShare is the share of the host's link that request bodies for its server are
	// expected to use; the rest is for answers and for requests of the host's own
	// callers.
	linkShare = 0.7
	// peerBodyMemoryDivisor is the divisor of the memory limit that yields the budget
	// for bodies waiting for the server.
	peerBodyMemoryDivisor = 8
	// bitsPerByte converts the link's rate to bytes.
	bitsPerByte = 8
)

// bodyReceiver receives the bodies of other nodes' requests before they occupy one of
// the server's slots: over a narrow link, receiving a body takes longer than running
// its request.
type bodyReceiver struct {
	// rate is in bytes per second.
	rate int64
	// budget bounds the bytes in flight and buffered.
	budget int64
	// inFlight counts the bytes still to be received, buffered those in memory.
	inFlight, buffered atomic.Int64
	queue              bodyQueue
}

func newBodyReceiver(linkMbps float64, memoryMB int) *bodyReceiver {
	return &bodyReceiver{
		rate:   int64(linkShare * linkMbps * 1e6 / bitsPerByte),
		budget: int64(memoryMB) << 20 / peerBodyMemoryDivisor,
	}
}

// queueDelay returns the time until all bodies in flight or queued have been received.
func (b *bodyReceiver) queueDelay() time.Duration {
	return b.transferTime(b.inFlight.Load())
}

// transferTime returns the time that receiving n bytes takes.
func (b *bodyReceiver) transferTime(n int64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(b.rate) * float64(time.Second))
}

// reserve reserves memory for a body of n bytes if the budget permits it.
func (b *bodyReceiver) reserve(n int64) bool {
	if n > b.budget {
		return false // also keeps the sum below from overflowing
	}
	if b.buffered.Add(n) > b.budget {
		b.buffered.Add(-n)
		return false
	}
	return true
}

// receive waits for the request's turn and reads its body into memory. A body that is
// already buffered, has no known length or exceeds the budget is left alone; it is then
// read while the server runs the request. release frees the memory.
func (b *bodyReceiver) receive(ctx context.Context, r *contract.Request) (release func(), err error) {
	noRelease := func() {}
	if r.BodyBuffered || r.ContentLength <= 0 || !b.reserve(r.ContentLength) {
		return noRelease, nil
	}
	release = func() { b.buffered.Add(-r.ContentLength) }
	remaining := r.ContentLength
	b.inFlight.Add(remaining)
	defer func() { b.inFlight.Add(-remaining) }()
	finish, err := b.queue.acquire(ctx, b.transferTime(remaining))
	if err != nil {
		release()
		// Proof: reading the body had not begun, so nothing was handed to the server.
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
			return noRelease, verdict.New(verdict.NotRun, verdict.ReasonCanceled, eris.Wrap(err, "receive the request body"))
		}
	}
	r.Body, r.BodyBuffered = io.Reader(bytes.NewReader(body)), true
	return release, nil
}
