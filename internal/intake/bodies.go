package intake

import (
	"io"
	"time"

	"boragefall/internal/verdict"
)

// blockSize is the step in which a body reserves bytes of the budget, so that a caller
// that announces a large body and sends little of it reserves little.
const blockSize = 32 << 10

// BodyBuffer receives the bodies of callers within a shared byte budget. It is safe for
// concurrent use.
type BodyBuffer struct {
	config BodyConfig
	budget byteBudget
}

// NewBodyBuffer returns a BodyBuffer with an unused budget.
func NewBodyBuffer(cfg BodyConfig) *BodyBuffer {
	cfg = cfg.withDefaults()
	return &BodyBuffer{config: cfg, budget: byteBudget{
		limit:            cfg.Budget,
		reservedForSmall: cfg.Budget * cfg.SmallPercent / 100,
	}}
}

// Buffered returns the number of budget bytes that all bodies have reserved.
func (b *BodyBuffer) Buffered() int64 {
	return b.budget.used.Load()
}

// Receive reads a body before it occupies a slot of a backend server. It returns when the
// body is complete, or when the body is too large or the budget too full to buffer it; the
// rest is then streamed. A small body that does not fit into the budget is refused. The
// length is in bytes, -1 when unknown. The caller must close the body. Errors are
// *verdict.Error with NotRun.
func (b *BodyBuffer) Receive(source Source, length int64) (*Body, error) {
	if length > b.config.MaxBody {
		// NotRun: nothing has been sent to a backend server.
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, b.config.RetryAfter)
	}
	body := &Body{buffer: b, reader: &timedReader{
		source:        source,
		idleTimeout:   b.config.IdleTimeout,
		totalDeadline: time.Now().Add(b.config.TotalTimeout),
		remaining:     b.config.MaxBody,
		// NotRun: nothing is sent to a backend server while the body is buffered.
		verdict:    verdict.NotRun,
		retryAfter: b.config.RetryAfter,
	}}
	if length == 0 {
		body.complete = true
		return body, nil
	}
	if err := body.fill(b.bufferLimit(length), length); err != nil {
		body.Close()
		return nil, err
	}
	// From now on a backend server may have received a part of the body.
	body.reader.verdict = verdict.MayHaveRun
	body.reader.idleTimeout = b.config.StreamIdleTimeout
	return body, nil
}

// bufferLimit returns the number of bytes to buffer. A body that is too large to buffer
// whole is streamed, so SmallBody bytes of it are enough.
func (b *BodyBuffer) bufferLimit(length int64) int64 {
	if length > b.config.MaxBuffered {
		return b.config.SmallBody
	}
	return b.config.MaxBuffered
}

// isSmall reports whether a body may use the part of the budget reserved for small ones.
func (b *BodyBuffer) isSmall(length int64) bool {
	return length >= 0 && length <= b.config.SmallBody
}

// fill buffers up to limit bytes. It stops early when the budget is exhausted.
func (b *Body) fill(limit, length int64) error {
	for b.buffered < limit {
		block := b.reserveBlock(limit, length)
		if block == nil {
			return b.budgetExhausted(length)
		}
		n, err := io.ReadFull(b.reader, block)
		b.buffered += int64(n)
		b.blocks = append(b.blocks, block[:n])
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF: // from ReadFull itself; the source returns verdict errors
			return b.finish(length)
		case err != nil:
			return err
		}
	}
	return b.probeEnd(length)
}

// finish marks the body as complete unless the caller announced more bytes.
func (b *Body) finish(length int64) error {
	if b.buffered < length {
		return b.reader.newError(verdict.ReasonCanceled, io.ErrUnexpectedEOF)
	}
	b.complete = true
	return nil
}

// reserveBlock allocates a block within the budget, or returns nil.
func (b *Body) reserveBlock(limit, length int64) []byte {
	size := min(blockSize, limit-b.buffered)
	if length >= 0 {
		size = min(size, max(length-b.buffered, 1)) // the extra byte detects the end of the body
	}
	if !b.buffer.budget.reserve(size, b.buffer.isSmall(length)) {
		return nil
	}
	b.reserved += size
	return make([]byte, size)
}

// budgetExhausted lets a body continue as a stream. A small body is refused, since the
// part of the budget reserved for small ones is used up too.
func (b *Body) budgetExhausted(length int64) error {
	if !b.buffer.isSmall(length) {
		return nil
	}
	// NotRun: nothing has been sent to a backend server.
	return verdict.Refuse(verdict.ReasonOverloaded, b.buffer.config.RetryAfter)
}
