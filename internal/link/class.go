// Package link carries streams between nodes over yamux sessions on TCP. Each
// stream starts with a protobuf message, the opening, that states its purpose.
//
// Requests and control traffic use separate sessions, so that a large upload
// never delays a heartbeat and control bytes can be counted on the wire.
package link

// ProtocolVersion is the newest protocol version that this node supports. It
// is also the version used with a peer that supports a newer one.
const ProtocolVersion = 1

// Class is a class of traffic. Classes use separate connections, so that one
// doesn't delay another.
type Class uint8

// The traffic classes. A connection starts with one byte, its class.
const (
	ClassControl Class = iota
	ClassRequest
	classCount
)

var classNames = [...]string{"control", "request"}

// String returns the name of the class, as used in metrics.
func (c Class) String() string {
	return classNames[c]
}
