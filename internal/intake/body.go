package intake

import (
	"io"
	"sync"
)

// Body is the body of a caller's request: complete in memory, or its first bytes followed
// by a stream. Close releases its bytes to the budget.
type Body struct {
	buffer     *BodyBuffer
	reader     *timedReader
	blocks     [][]byte
	buffered   int64 // bytes held in blocks
	reserved   int64 // bytes reserved from the budget
	complete   bool
	streamUsed bool
	closeOnce  sync.Once
}

// CanOpen reports whether the complete body is in memory, so that it can be sent again.
func (b *Body) CanOpen() bool {
	return b.complete
}

// Size returns the number of bytes held in memory.
func (b *Body) Size() int64 {
	return b.buffered
}

// Reader returns a reader from the start of the body. A body not fully held in memory has
// only one reader; the readers of later calls fail with ErrBodyConsumed.
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

// Close releases the bytes of the body. Readers that are still in use fail from now on.
func (b *Body) Close() {
	b.closeOnce.Do(func() {
		b.reader.close()
		b.buffer.budget.release(b.reserved)
		b.blocks = nil
	})
}

// probeEnd reads one more byte to detect the end of a body that just fits.
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

// blockReader reads blocks without modifying them.
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

// errorReader fails each read with err.
type errorReader struct {
	err error
}

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) {
	return 0, r.err
}
