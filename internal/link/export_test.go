package link

import "net"

// Coalesce returns a coalescing connection, for the tests.
func Coalesce(conn net.Conn) net.Conn {
	return newCoalescingConn(conn)
}
