package link

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// streamBufferBytes is the size of a stream's read buffer and of its write buffer.
// A request head and a small body fit, so that they are sent in one frame.
const streamBufferBytes = 4 << 10

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, streamBufferBytes) }}
)

// Stream is one bidirectional exchange of messages with a peer. One goroutine may
// send while another receives. Close must be called when both are done.
type Stream struct {
	conn      *streamConn
	reader    *bufio.Reader
	writer    *bufio.Writer
	unbind    func() bool
	closeOnce sync.Once
	// maxMessage bounds the messages received; 0 means MaxFrameBytes.
	maxMessage int
	// peerReadsRawText reports that the peer reads text that is not UTF-8.
	peerReadsRawText bool
}

// streamConn counts the bytes of a stream.
type streamConn struct {
	net.Conn
	transferred atomic.Int64
}

func (c *streamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

func (c *streamConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}

func newStream(raw net.Conn) *Stream {
	conn := &streamConn{Conn: raw}
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(conn)
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(conn)
	return &Stream{conn: conn, reader: r, writer: w, unbind: func() bool { return true }}
}

var pastDeadline = time.Unix(1, 0)

// PeerAddress returns the peer's address of the link that carries the stream.
func (s *Stream) PeerAddress() string {
	return s.conn.RemoteAddr().String()
}

// Abort unblocks reads and writes by expiring their deadlines.
func (s *Stream) Abort() {
	_ = s.conn.SetDeadline(pastDeadline)
}

// AbortRead unblocks reads by expiring their deadline.
func (s *Stream) AbortRead() {
	_ = s.conn.SetReadDeadline(pastDeadline)
}

// LinkOpen reports whether the link that carries the stream is open, also if the stream has
// ended.
func (s *Stream) LinkOpen() bool {
	carried, ok := s.conn.Conn.(interface{ Session() *yamux.Session })
	return ok && !carried.Session().IsClosed()
}

// Transferred returns the number of bytes sent and received so far.
func (s *Stream) Transferred() int64 {
	return s.conn.transferred.Load()
}

// Bind aborts the stream when the context is done.
func (s *Stream) Bind(ctx context.Context) {
	s.unbind = context.AfterFunc(ctx, s.Abort)
}

// Send writes a message to the buffer, which Flush sends. A peer that reads only UTF-8 gets
// replacement characters for bytes that are not: it would close the link otherwise.
func (s *Stream) Send(m proto.Message) error {
	if !s.peerReadsRawText && !isValidText(m) {
		m = withValidText(m)
	}
	return WriteFrame(s.writer, m)
}

// Flush sends the buffered bytes.
func (s *Stream) Flush() error {
	return s.writer.Flush()
}

// Receive reads the next message into m.
func (s *Stream) Receive(m proto.Message) error {
	_, err := s.receive(m)
	return err
}

// receive reads the next message and returns its size.
func (s *Stream) receive(m proto.Message) (int, error) {
	box, accounted := s.conn.Conn.(inboxConn)
	held := 0
	size, err := readFrame(s.reader, m, cmp.Or(s.maxMessage, MaxFrameBytes), func(n int) {
		if accounted {
			held += n
			box.box.keep(box.StreamID(), int64(n))
		}
	})
	if held > 0 {
		box.box.keep(box.StreamID(), int64(-held))
	}
	return size, err
}

// AwaitData blocks until data can be received. It returns an error if the stream
// ends or fails first.
func (s *Stream) AwaitData() error {
	_, err := s.reader.Peek(1)
	return err
}

// Read reads raw bytes. It is used to detect that the peer closed the stream.
func (s *Stream) Read(p []byte) (int, error) {
	return s.reader.Read(p)
}

// CloseWrite flushes and closes the sending side; the peer then reads io.EOF.
func (s *Stream) CloseWrite() error {
	if err := s.writer.Flush(); err != nil {
		return err
	}
	return s.conn.Close()
}

// Close closes the stream and returns its buffers to their pools. Only the first
// call has an effect.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		s.unbind()
		_ = s.conn.Close()
		s.returnBuffers()
	})
}

// release ends the use of the stream, which is not bound to a context, without closing its
// connection.
func (s *Stream) release() {
	s.closeOnce.Do(s.returnBuffers)
}

func (s *Stream) returnBuffers() {
	s.reader.Reset(nil)
	s.writer.Reset(io.Discard)
	readerPool.Put(s.reader)
	writerPool.Put(s.writer)
}
