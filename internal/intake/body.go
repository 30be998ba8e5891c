package intake

import (
	"io"
	"sync"
)

// Body is a caller's body: whole in memory, or its first bytes and a stream.
// Close gives its bytes back to the budget.
type Body struct {
	buffer     *BodyBuffer
	reader     *timedReader
	blocks     [][]byte
	buffered   int64 // bytes buffered
	reserved   int64 // bytes of the budget
	complete   bool
	streamUsed bool
	closeOnce  sync.Once
}

// Replayable reports whether the whole body is held, so that the request can
// be sent again.
func (b *Body) Replayable() bool {
	return b.complete
}

// Size returns the number of bytes held.
func (b *Body) Size() int64 {
	return b.buffered
}

// Reader returns a reader of the body from its start. A body that is not
// replayable has one reader only; a second fails with ErrBodyUsed.
func (b *Body) Reader() io.Reader {
	if b.complete {
		return &blockReader{blocks: b.blocks}
	}
	if b.streamUsed {
		return errorReader{ErrBodyConsumed}
	}
	b.streamUsed = true
	return io.MultiReader(&blockReader{blocks: b.blocks}, b.reader)
}

// Close gives the bytes back. Readers must not be used after it.
func (b *Body) Close() {
	b.closeOnce.Do(func() {
		b.buffer.budget.release(b.reserved)
		b.blocks = nil
	})
}

// probeEnd looks for the end of a body that just fits.
func (b *Body) probeEnd(length int64) error {
	var next [1]byte
	n, err := io.ReadFull(b.reader, next[:])
	switch {
	case err == io.EOF:
		return b.finish(length)
	case err != nil:
		return err
	}
	b.blocks = append(b.blocks, next[:n])
	b.buffered += int64(n)
	return nil
}

// blockReader reads blocks without changing them.
type blockReader struct {
	blocks [][]byte
	offset int
}

// Read implements io.Reader.
func (r *blockReader) Read(p []byte) (int, error) {
	for len(r.blocks) > 0 {
		block := r.blocks[0][r.offset:]
		if len(block) > 0 {
			n := copy(p, block)
			r.offset += n
			return n, nil
		}
		r.blocks, r.offset = r.blocks[1:], 0
	}
	return 0, io.EOF
}

// errorReader fails each read.
type errorReader struct {
	err error
}

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) {
	return 0, r.err
}
