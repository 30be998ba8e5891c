package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// streamBufferBytes is the size of each buffer of a stream. A head and a small
// body fit, so that they cross in one frame.
const streamBufferBytes = 4 << 10

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, streamBufferBytes) }}
)

// Stream is one exchange with a peer. One goroutine may send while another
// receives. Close must be called once both are done.
type Stream struct {
	conn      net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	unbind    func() bool
	closeOnce sync.Once
}

func newStream(conn net.Conn) *Stream {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(conn)
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(conn)
	return &Stream{conn: conn, reader: r, writer: w, unbind: func() bool { return true }}
}

var pastDeadline = time.Unix(1, 0)

// Abort ends blocked reads and writes at once.
func (s *Stream) Abort() {
	_ = s.conn.SetDeadline(pastDeadline)
}

// AbortRead ends a blocked read at once.
func (s *Stream) AbortRead() {
	_ = s.conn.SetReadDeadline(pastDeadline)
}

// Bind ends blocked reads and writes once the context is done.
func (s *Stream) Bind(ctx context.Context) {
	s.unbind = context.AfterFunc(ctx, s.Abort)
}

// Send buffers a message. Flush sends what is buffered.
func (s *Stream) Send(m proto.Message) error {
	return WriteFrame(s.writer, m)
}

// Flush sends what is buffered.
func (s *Stream) Flush() error {
	return s.writer.Flush()
}

// Receive reads the next message.
func (s *Stream) Receive(m proto.Message) error {
	return ReadFrame(s.reader, m)
}

// AwaitData returns once there is something to receive, or why there never
// will be.
func (s *Stream) AwaitData() error {
	_, err := s.reader.Peek(1)
	return err
}

// Read reads raw bytes; it serves to notice the peer's close.
func (s *Stream) Read(p []byte) (int, error) {
	return s.reader.Read(p)
}

// CloseWrite flushes and ends the sending side; the peer reads io.EOF.
func (s *Stream) CloseWrite() error {
	if err := s.writer.Flush(); err != nil {
		return err
	}
	return s.conn.Close()
}

// Close ends the stream and gives its buffers back.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		s.unbind()
		_ = s.conn.Close()
		s.reader.Reset(nil)
		s.writer.Reset(io.Discard)
		readerPool.Put(s.reader)
		writerPool.Put(s.writer)
	})
}
