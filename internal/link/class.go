// Package link carries streams between nodes: yamux sessions over TCP, a
// protobuf message at the start of each stream that says what it is for.
//
// Requests and control run over separate sessions, so that a large upload
// never delays a heartbeat and control bytes can be counted on the wire.
package link

// ProtocolVersion is the newest protocol version that this node speaks. A
// peer with a newer one is met in this version.
const ProtocolVersion = 1

// Class separates traffic that must not delay each other.
type Class uint8

// Classes of traffic.
const (
	ClassControl Class = iota
	ClassRequest
	classCount
)

var classNames = [...]string{"control", "request"}

// String returns the class as it stands in metrics.
func (c Class) String() string {
	return classNames[c]
}
