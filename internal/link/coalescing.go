package link

import (
	"net"
	"runtime"
	"sync"
)

// maxPendingBytes bounds what a connection holds back; then writers wait.
const maxPendingBytes = 256 << 10

// coalescingConn sends what is written within a moment in one system call.
// yamux writes each frame's header and body apart, and a request is three
// frames: each of them would wake the peer.
type coalescingConn struct {
	net.Conn

	mu      sync.Mutex
	changed sync.Cond // pending, err or closed changed
	pending []byte
	spare   []byte
	err     error
	closed  bool
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

// Close drops what is pending.
func (c *coalescingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *coalescingConn) flush() {
	for {
		batch, ok := c.take()
		if !ok {
			return
		}
		_, err := c.Conn.Write(batch)
		c.give(batch, err)
		if err != nil {
			return
		}
	}
}

// take waits for bytes and takes all there are.
func (c *coalescingConn) take() ([]byte, bool) {
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
	c.pending = c.spare[:0]
	c.spare = nil
	if len(batch) > maxPendingBytes {
		c.changed.Broadcast() // writers wait for room
	}
	return batch, true
}

// give takes a sent batch's memory back, unless a burst made it large.
func (c *coalescingConn) give(batch []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cap(batch) <= streamBufferBytes*4 {
		c.spare = batch
	}
	if err != nil {
		c.err = err
		c.changed.Broadcast()
	}
}
