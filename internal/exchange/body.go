package exchange

import (
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// ChunkBytes is the most body data that one message carries.
const ChunkBytes = 32 << 10

// ErrTruncated reports a body that ended before its last chunk, or whose length
// differs from the stated one.
var ErrTruncated = eris.New("body truncated or of the wrong length")

var chunkBuffers = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}

// sendBody sends a body in chunks, followed by an end chunk with the total length
// and the trailers. A body that fits one chunk and has a stated length is flushed
// together with the messages buffered before it.
// It returns the number of bytes of the body that were sent.
func sendBody(stream *link.Stream, body io.Reader, length int64, trailers func() http.Header) (int64, error) {
	buffer := chunkBuffers.Get().(*[ChunkBytes]byte)
	defer chunkBuffers.Put(buffer)
	var total uint64
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			total += uint64(n)
			if sendErr := stream.Send(&wire.Chunk{Data: buffer[:n]}); sendErr != nil {
				return int64(total), sendErr
			}
		}
		if err == io.EOF {
			return int64(total), sendEnd(stream, total, trailers())
		}
		if err != nil {
			return int64(total), eris.Wrap(ErrTruncated, err.Error())
		}
		if int64(total) == length {
			continue // the end chunk follows at once and shares the flush
		}
		if err := stream.Flush(); err != nil {
			return int64(total), err
		}
	}
}

func sendEnd(stream *link.Stream, total uint64, trailers http.Header) error {
	end := &wire.Chunk{End: true, Total: total, Trailers: encodeHeaders(trailers)}
	if err := stream.Send(end); err != nil {
		return err
	}
	return stream.Flush()
}

// bodyReader reads a body from the chunks on a stream.
type bodyReader struct {
	stream  *link.Stream
	trailer http.Header
	length  int64 // stated length, or -1 if unknown
	chunk   wire.Chunk
	unread  []byte
	total   uint64
	err     error
	onEnd   func()
}

// Read returns ErrTruncated when the stream ends before the last chunk or the length
// differs from the stated one.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.receiveChunk()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *bodyReader) receiveChunk() {
	b.chunk.Reset()
	if err := b.stream.Receive(&b.chunk); err != nil {
		b.err = eris.Wrap(ErrTruncated, err.Error())
		return
	}
	b.unread = b.chunk.GetData()
	b.total += uint64(len(b.unread))
	if b.length >= 0 && b.total > uint64(b.length) {
		// The bytes beyond the stated length belong to no body.
		b.err, b.unread = eris.Wrapf(ErrTruncated, "more than %d bytes", b.length), nil
		return
	}
	if b.chunk.GetEnd() {
		b.err = b.checkEnd()
		if b.onEnd != nil {
			b.onEnd()
		}
	}
}

func (b *bodyReader) checkEnd() error {
	if b.chunk.GetTotal() != b.total {
		return eris.Wrapf(ErrTruncated, "%d bytes of %d", b.total, b.chunk.GetTotal())
	}
	if b.length >= 0 && b.total != uint64(b.length) {
		return eris.Wrapf(ErrTruncated, "%d bytes of %d", b.total, b.length)
	}
	for _, h := range b.chunk.GetTrailers() {
		b.trailer.Add(h.GetName(), h.GetValue())
	}
	return io.EOF
}
