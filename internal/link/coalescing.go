package link

import (
	"net"
	"runtime"
	"sync"
	"time"
)

// maxPendingBytes bounds what a connection holds back; then writers wait.
const maxPendingBytes = 256 << 10

// coalescingConn sends what is written within a moment in one system call.
// yamux writes each frame's header and body apart, and a request is three
// frames: each of them would wake the peer.
type coalescingConn struct {
	net.Conn

	mu         sync.Mutex
	changed    sync.Cond // pending, sending, err or closed changed
	pending    []byte
	freeBuffer []byte
	err        error
	sending    bool // a batch is being written
	closed     bool
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

// Write takes the bytes and returns; an error of an earlier write shows here.
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

// closeFlushTimeout bounds how long Close waits for what is pending to be sent.
const closeFlushTimeout = 500 * time.Millisecond

// Close sends what is pending, within a short time, and closes.
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

// abandon gives up what is pending, so that no writer and no Close waits.
func (c *coalescingConn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
}

// hasUnsent reports whether bytes were taken that may still be sent.
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

// nextBatch waits for bytes and takes all there are.
func (c *coalescingConn) nextBatch() ([]byte, bool) {
	c.mu.Lock()
	for len(c.pending) == 0 && !c.closed {
		c.changed.Wait()
	}
	c.mu.Unlock()
	runtime.Gosched() // let the writer add the frame's body
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
		c.changed.Broadcast() // writers wait for room
	}
	return batch, true
}

// finishBatch takes a sent batch's memory back, unless a burst made it large.
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
		c.changed.Broadcast() // Close may wait for the end
	}
}
