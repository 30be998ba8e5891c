package link

import "net"

// NewCoalescingConn returns a coalescing connection, for the tests.
func NewCoalescingConn(conn net.Conn) net.Conn {
	return newCoalescingConn(conn)
}
