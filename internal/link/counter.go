package link

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of each class on the wire, above TCP.
type Counter struct {
	sent     [classCount]atomic.Int64
	received [classCount]atomic.Int64
}

// Sent returns the bytes sent in a class.
func (c *Counter) Sent(class Class) int64 {
	return c.sent[class].Load()
}

// Received returns the bytes received in a class.
func (c *Counter) Received(class Class) int64 {
	return c.received[class].Load()
}

// countedConn is a connection whose class becomes known with its first byte.
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
