package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// writeResultGrace is how long the end of an answer without a length waits for the end of the
// request's write: a server may end its answer as soon as it has the whole request, before the
// transport has noted that.
const writeResultGrace = 100 * time.Millisecond

// errUnfinishedRequest reports an answer without a length that ended before the request was
// written. The writer may have taken the report of a reset, so that its end looks ordinary.
var errUnfinishedRequest = eris.New("connection ended while the request was written, the answer may be truncated")

// progress records how far a request got.
type progress struct {
	// connected reports that it got a connection.
	connected atomic.Bool
	conn      atomic.Pointer[trackedConn]
	// wrote is closed when the request was written, but for what the transport buffers.
	wrote     chan struct{}
	wroteOnce sync.Once
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*trackedConn); ok {
				p.conn.Store(conn)
			}
			p.connected.Store(true)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				p.wroteOnce.Do(func() { close(p.wrote) })
			}
		},
	}
}

// isWritten reports whether the whole request was written.
func (p *progress) isWritten() bool {
	timer := time.NewTimer(writeResultGrace)
	defer timer.Stop()
	select {
	case <-p.wrote:
	case <-timer.C:
		return false
	}
	conn := p.conn.Load()
	return conn != nil && !conn.writeFailed()
}

// trackedConn records whether a write failed.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex // held while a write runs
	failed bool
}

// Write writes to the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// writeFailed waits for the end of a write in progress, which the end of the request's context
// bounds.
func (c *trackedConn) writeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// dialTracked returns dial with its connections tracked.
func dialTracked(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// isEndedByClose reports whether only the end of the connection ends a response's body.
func isEndedByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// closeDelimitedBody is the body of a response without a length.
type closeDelimitedBody struct {
	io.ReadCloser
	progress *progress
}

// Read returns errUnfinishedRequest in place of io.EOF if the request was not written.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.progress.isWritten() {
		return n, errUnfinishedRequest
	}
	return n, err
}
