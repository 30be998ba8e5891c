package intake

import (
	"io"
	"time"

	"boragefall/internal/verdict"
)

// blockSize is the step in which a body takes bytes of the budget, so that a
// caller that announces much and sends little holds little.
const blockSize = 32 << 10

// Bodies takes callers' bodies in. It is safe for concurrent use.
type Bodies struct {
	config BodyConfig
	budget byteBudget
}

// NewBodies returns Bodies with an unused budget.
func NewBodies(cfg BodyConfig) *Bodies {
	cfg = cfg.withDefaults()
	return &Bodies{config: cfg, budget: byteBudget{
		limit: cfg.Budget,
		kept:  cfg.Budget * cfg.SmallPercent / 100,
	}}
}

// Buffered returns the bytes held by all bodies now.
func (b *Bodies) Buffered() int64 {
	return b.budget.used.Load()
}

// Take reads a body before any backend server's slot is used. It returns when
// the body is whole, or when it is too large or the budget too full to hold
// it; then the rest is streamed. A small body that finds no room is refused. The length is in bytes, -1 when unknown. The
// caller closes the body. Errors are *verdict.Error and say NotRun.
func (b *Bodies) Take(source Source, length int64) (*Body, error) {
	if length > b.config.MaxBody {
		// NotRun: nothing was sent to a backend server yet.
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, b.config.RetryAfter)
	}
	body := &Body{bodies: b, reader: &timedReader{
		source: source,
		idle:   b.config.Idle,
		end:    time.Now().Add(b.config.Total),
		left:   b.config.MaxBody,
		// NotRun: while the body is buffered nothing was sent to a backend server.
		verdict: verdict.NotRun,
		retry:   b.config.RetryAfter,
	}}
	if length == 0 {
		body.whole = true
		return body, nil
	}
	if err := body.fill(b.ahead(length), length); err != nil {
		body.Close()
		return nil, err
	}
	// From here on a backend server may have seen a part of the body.
	body.reader.verdict = verdict.MayHaveRun
	body.reader.idle = b.config.StreamIdle
	return body, nil
}

// ahead is the number of bytes to buffer. Of a body that is streamed anyway a
// little suffices.
func (b *Bodies) ahead(length int64) int64 {
	if length > b.config.MaxBuffered {
		return b.config.SmallBody
	}
	return b.config.MaxBuffered
}

// small reports whether a body may use the part of the budget that is kept.
func (b *Bodies) small(length int64) bool {
	return length >= 0 && length <= b.config.SmallBody
}

// fill buffers up to limit bytes. It stops early when the budget is used up.
func (b *Body) fill(limit, length int64) error {
	for b.size < limit {
		block := b.newBlock(limit, length)
		if block == nil {
			return b.noRoom(length)
		}
		n, err := io.ReadFull(b.reader, block)
		b.size += int64(n)
		b.blocks = append(b.blocks, block[:n])
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF: // of ReadFull itself, not of the caller
			return b.end(length)
		case err != nil:
			return err
		}
	}
	return b.atLimit(length)
}

// end takes the body as whole unless the caller announced more.
func (b *Body) end(length int64) error {
	if b.size < length {
		return b.reader.fail(verdict.ReasonCanceled, io.ErrUnexpectedEOF)
	}
	b.whole = true
	return nil
}

// newBlock takes a block of the budget, or returns nil.
func (b *Body) newBlock(limit, length int64) []byte {
	size := min(blockSize, limit-b.size)
	if length >= 0 {
		size = min(size, max(length-b.size, 1)) // one byte more finds the end
	}
	if !b.bodies.budget.take(size, b.bodies.small(length)) {
		return nil
	}
	b.taken += size
	return make([]byte, size)
}

// noRoom lets a body go on as a stream when the budget is used up. A small
// one, which the kept part should have held, is refused.
func (b *Body) noRoom(length int64) error {
	if !b.bodies.small(length) {
		return nil
	}
	// NotRun: nothing was sent to a backend server yet.
	return verdict.Refuse(verdict.ReasonOverloaded, b.bodies.config.RetryAfter)
}
