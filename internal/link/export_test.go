package link

import "net"

// NewCoalescingConn exposes newCoalescingConn to the tests.
func NewCoalescingConn(conn net.Conn) net.Conn {
	return newCoalescingConn(conn)
}
