package link

import (
	"net"
	"runtime"
	"sync"
	"time"
)

// maxPendingBytes is the number of pending bytes above which writers block.
const maxPendingBytes = 256 << 10

// coalescingConn merges writes that follow each other closely into one system
// call. yamux writes the header and body of a frame separately, and a request
// is three frames; without coalescing, each write would wake the peer.
type coalescingConn struct {
	net.Conn

	mu         sync.Mutex
	changed    sync.Cond // signals changes of pending, sending, err and closed
	pending    []byte
	freeBuffer []byte
	err        error
	sending    bool // flush is writing a batch
	closed     bool
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

// Write buffers p and returns before it is sent. It blocks while more than
// maxPendingBytes are pending. If an earlier batch could not be sent, it returns
// that batch's error.
func (c *coalescingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPendingBytes && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.err != nil {
		return 0, c.err
	}
	if len(c.pending) == 0 {
		defer c.changed.Broadcast()
	}
	c.pending = append(c.pending, p...)
	return len(p), nil
}

// closeFlushTimeout limits how long Close waits for pending bytes to be sent.
const closeFlushTimeout = 500 * time.Millisecond

// Close sends the pending bytes, within closeFlushTimeout, and closes the connection.
func (c *coalescingConn) Close() error {
	c.mu.Lock()
	timer := time.AfterFunc(closeFlushTimeout, c.abandon)
	defer timer.Stop()
	for c.hasUnsent() && !c.closed {
		c.changed.Wait()
	}
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// abandon drops the pending bytes and unblocks Write and Close.
func (c *coalescingConn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
}

// hasUnsent reports whether written bytes remain unsent and can still be sent.
func (c *coalescingConn) hasUnsent() bool {
	return c.err == nil && (len(c.pending) > 0 || c.sending)
}

func (c *coalescingConn) flush() {
	for {
		batch, ok := c.nextBatch()
		if !ok {
			return
		}
		_, err := c.Conn.Write(batch)
		c.finishBatch(batch, err)
		if err != nil {
			return
		}
	}
}

// nextBatch waits for pending bytes and returns all of them. It returns false
// once the connection is closed.
func (c *coalescingConn) nextBatch() ([]byte, bool) {
	c.mu.Lock()
	for len(c.pending) == 0 && !c.closed {
		c.changed.Wait()
	}
	c.mu.Unlock()
	runtime.Gosched() // lets yamux write the frame's body into the same batch
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	batch := c.pending
	c.sending = true
	c.pending = c.freeBuffer[:0]
	c.freeBuffer = nil
	if len(batch) > maxPendingBytes {
		c.changed.Broadcast() // writers may be blocked on maxPendingBytes
	}
	return batch, true
}

// finishBatch records the result of sending a batch. It keeps the batch's buffer
// for reuse, unless a burst made it large.
func (c *coalescingConn) finishBatch(batch []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
	if cap(batch) <= streamBufferBytes*4 {
		c.freeBuffer = batch
	}
	if err != nil {
		c.err = err
	}
	if err != nil || len(c.pending) == 0 {
		c.changed.Broadcast() // Close may be waiting for the last batch
	}
}
