package workload

import (
	"bytes"
	"net"
	"sync"
	"time"

	"boragefall/internal/host"
)

// Cut is a network between nodes that can be parted. While it is, connections
// between the parts stay open and carry nothing, as with lost packets.
type Cut struct {
	mu    sync.Mutex
	part  func(host.ID) int
	ended chan struct{} // closed when the parts are joined
}

// Part parts the hosts by number.
func (c *Cut) Part(part func(host.ID) int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part, c.ended = part, make(chan struct{})
}

// Join joins the parts.
func (c *Cut) Join() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.part != nil {
		c.part = nil
		close(c.ended)
	}
}

// parted returns a channel that closes when two hosts are joined again; it is
// nil when they are not parted.
func (c *Cut) parted(a, b host.ID) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.part == nil || a == "" || c.part(a) == c.part(b) {
		return nil
	}
	return c.ended
}

// listener wraps the link listener of a host.
func (c *Cut) listener(inner net.Listener, owner host.ID, names func() []host.ID) net.Listener {
	return &cutListener{Listener: inner, cut: c, owner: owner, names: names}
}

type cutListener struct {
	net.Listener
	cut   *Cut
	owner host.ID
	names func() []host.ID
}

func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, listener: l, closed: make(chan struct{})}, nil
}

// cutConn is an accepted link. Who dialled it is read from the hello at its
// beginning.
type cutConn struct {
	net.Conn
	listener *cutListener

	mu     sync.Mutex
	peer   host.ID
	head   []byte
	once   sync.Once
	closed chan struct{}
}

// headBytes bounds the search for the hello.
const headBytes = 512

// Read passes bytes on once the two hosts are joined.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recognise(p[:n])
	c.wait()
	return n, err
}

// Write sends once the two hosts are joined.
func (c *cutConn) Write(p []byte) (int, error) {
	c.wait()
	return c.Conn.Write(p)
}

// Close ends the waits too.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// cutPatience bounds one wait, so that nothing waits for ever on a connection
// that its other end has given up.
const cutPatience = 2 * time.Minute

func (c *cutConn) wait() {
	c.mu.Lock()
	peer := c.peer
	c.mu.Unlock()
	joined := c.listener.cut.parted(peer, c.listener.owner)
	if joined == nil {
		return
	}
	select {
	case <-joined:
	case <-c.closed:
	case <-time.After(cutPatience):
	}
}

// recognise looks for the dialler's name: field 2 of the hello, a string.
func (c *cutConn) recognise(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer != "" || len(c.head) > headBytes {
		return
	}
	c.head = append(c.head, p...)
	for _, id := range c.listener.names() {
		field := append([]byte{2<<3 | 2, byte(len(id))}, id...)
		if bytes.Contains(c.head, field) {
			c.peer, c.head = id, nil
			return
		}
	}
}
