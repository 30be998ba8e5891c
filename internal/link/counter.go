package link

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of each class that are sent and received over TCP,
// without TCP's own overhead.
type Counter struct {
	sent     [classCount]atomic.Int64
	received [classCount]atomic.Int64
}

// Sent returns the number of bytes sent in a class.
func (c *Counter) Sent(class Class) int64 {
	return c.sent[class].Load()
}

// Received returns the number of bytes received in a class.
func (c *Counter) Received(class Class) int64 {
	return c.received[class].Load()
}

// countedConn adds a connection's bytes to the counts of its class. The class is
// the first byte of the connection; the listener reads it before it wraps.
type countedConn struct {
	net.Conn
	counter *Counter
	class   Class
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received[c.class].Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent[c.class].Add(int64(n))
	return n, err
}
