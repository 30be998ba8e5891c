package spread

import (
	"time"

	"boragefall/internal/config"
	"boragefall/internal/wire"
)

// Effect is something that the Machine asks its Runner to do.
type Effect interface{ effect() }

// SendGossip asks for a gossip exchange. Its outcome is GossipAnswered or
// PeerFailed.
type SendGossip struct {
	Address string
	Message *wire.Gossip
}

// SendPull asks for a pull. Its outcome is PullAnswered or PullFailed with the
// same ID.
type SendPull struct {
	ID      uint64
	Address string
	Message *wire.Pull
}

// ReadSource asks for a read of the source. Its outcome is SourceRead,
// SourceUnchanged or SourceFailed.
type ReadSource struct {
	Kind wire.DocumentKind
	// Wait is the length of the watch; 0 is a plain read.
	Wait time.Duration
	// After is the revision that the watch compares with.
	After uint64
	// Held are files whose bytes need not be read again.
	Held []config.File
}

// Apply hands an accepted version to the node. Applies go out in order.
type Apply struct {
	Bundle   *Bundle
	Document ValidDocument
}

// Rejected reports a version that failed its check.
type Rejected struct {
	Rejection
}

func (SendGossip) effect() {}
func (SendPull) effect()   {}
func (ReadSource) effect() {}
func (Apply) effect()      {}
func (Rejected) effect()   {}
