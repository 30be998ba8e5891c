package intake

import (
	"io"
	"time"

	"boragefall/internal/verdict"
)

// blockSize is the step in which a body takes bytes of the budget, so that a
// caller that announces much and sends little holds little.
const blockSize = 32 << 10

// BodyBuffer takes callers' bodies in. It is safe for concurrent use.
type BodyBuffer struct {
	config BodyConfig
	budget byteBudget
}

// NewBodyBuffer returns Bodies with an unused budget.
func NewBodyBuffer(cfg BodyConfig) *BodyBuffer {
	cfg = cfg.withDefaults()
	return &BodyBuffer{config: cfg, budget: byteBudget{
		limit:            cfg.Budget,
		reservedForSmall: cfg.Budget * cfg.SmallPercent / 100,
	}}
}

// Buffered returns the bytes held by all bodies now.
func (b *BodyBuffer) Buffered() int64 {
	return b.budget.used.Load()
}

// Receive reads a body before any backend server's slot is used. It returns when
// the body is whole, or when it is too large or the budget too full to hold
// it; then the rest is streamed. A small body that finds no room is refused. The length is in bytes, -1 when unknown. The
// caller closes the body. Errors are *verdict.Error and say NotRun.
func (b *BodyBuffer) Receive(source Source, length int64) (*Body, error) {
	if length > b.config.MaxBody {
		// NotRun: nothing was sent to a backend server yet.
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, b.config.RetryAfter)
	}
	body := &Body{buffer: b, reader: &timedReader{
		source:        source,
		idleTimeout:   b.config.IdleTimeout,
		totalDeadline: time.Now().Add(b.config.TotalTimeout),
		remaining:     b.config.MaxBody,
		// NotRun: while the body is buffered nothing was sent to a backend server.
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
	// From here on a backend server may have seen a part of the body.
	body.reader.verdict = verdict.MayHaveRun
	body.reader.idleTimeout = b.config.StreamIdleTimeout
	return body, nil
}

// bufferLimit is the number of bytes to buffer. Of a body that is streamed anyway a
// little suffices.
func (b *BodyBuffer) bufferLimit(length int64) int64 {
	if length > b.config.MaxBuffered {
		return b.config.SmallBody
	}
	return b.config.MaxBuffered
}

// isSmall reports whether a body may use the part of the budget that is kept.
func (b *BodyBuffer) isSmall(length int64) bool {
	return length >= 0 && length <= b.config.SmallBody
}

// fill buffers up to limit bytes. It stops early when the budget is used up.
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
		case err == io.EOF || err == io.ErrUnexpectedEOF: // of ReadFull itself, not of the caller
			return b.finish(length)
		case err != nil:
			return err
		}
	}
	return b.probeEnd(length)
}

// finish takes the body as whole unless the caller announced more.
func (b *Body) finish(length int64) error {
	if b.buffered < length {
		return b.reader.newError(verdict.ReasonCanceled, io.ErrUnexpectedEOF)
	}
	b.complete = true
	return nil
}

// reserveBlock takes a block of the budget, or returns nil.
func (b *Body) reserveBlock(limit, length int64) []byte {
	size := min(blockSize, limit-b.buffered)
	if length >= 0 {
		size = min(size, max(length-b.buffered, 1)) // one byte more finds the end
	}
	if !b.buffer.budget.reserve(size, b.buffer.isSmall(length)) {
		return nil
	}
	b.reserved += size
	return make([]byte, size)
}

// budgetExhausted lets a body go on as a stream when the budget is used up. A small
// one, which the kept part should have held, is refused.
func (b *Body) budgetExhausted(length int64) error {
	if !b.buffer.isSmall(length) {
		return nil
	}
	// NotRun: nothing was sent to a backend server yet.
	return verdict.Refuse(verdict.ReasonOverloaded, b.buffer.config.RetryAfter)
}
