package link

import "net"

// NewCoalescingConn exposes newCoalescingConn to the tests.
func NewCoalescingConn(conn net.Conn) net.Conn {
	return newCoalescingConn(conn)
}

// IsDelivered exposes isDelivered of a connection that NewCoalescingConn returned.
func IsDelivered(conn net.Conn) bool {
	return conn.(*coalescingConn).isDelivered()
}
