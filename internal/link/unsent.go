package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// unackedBytes returns the number of bytes in the kernel's send queue of a connection that
// the peer has not acknowledged. It returns 0 if the kernel does not report it.
func unackedBytes(conn net.Conn) int {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); ioctlErr == nil {
			queued = n
		}
	})
	if err != nil {
		return 0 // the connection is closed
	}
	return queued
}

// isDelivered reports whether the peer has acknowledged all bytes that were written, or
// never will.
func (c *coalescingConn) isDelivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.closed {
		return true
	}
	return !c.hasUnsent() && unackedBytes(c.Conn) == 0
}

// AllDelivered reports whether all peers have acknowledged what was sent to them on the
// links of a class.
func (l *Listener) AllDelivered(class Class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, accepted := range l.sessions {
		if accepted.class == class && !accepted.conn.isDelivered() {
			return false
		}
	}
	return true
}

// UnsentBytes returns the bytes written to the links of a class that their peers have not
// acknowledged.
func (l *Listener) UnsentBytes(class Class) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := int64(0)
	for _, accepted := range l.sessions {
		if accepted.class == class {
			sum += accepted.conn.unsentBytes()
		}
	}
	return sum
}

// unsentBytes returns the bytes that wait here or in the kernel; a batch that is being
// written counts once the kernel has taken it.
func (c *coalescingConn) unsentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.closed {
		return 0
	}
	return int64(len(c.pending) + unackedBytes(c.Conn))
}
