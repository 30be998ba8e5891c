package spread

import (
	"time"

	"boragefall/internal/config"
	"boragefall/internal/wire"
)

// Effect is an action that the Machine requests from its Runner.
type Effect interface{ effect() }

// SendGossip requests a gossip exchange. Its result is passed to GossipAnswered or
// PeerFailed.
type SendGossip struct {
	Address string
	Message *wire.Gossip
}

// SendPull requests a pull. Its result is passed to HandlePullAnswer or HandlePullFailure with the
// same ID.
type SendPull struct {
	ID      uint64
	Address string
	Message *wire.Pull
}

// ReadSource requests a read of the source. Its result is passed to SourceRead,
// SourceUnchanged or SourceFailed.
type ReadSource struct {
	Kind wire.DocumentKind
	// Wait is the duration of the watch; 0 requests a read without a watch.
	Wait time.Duration
	// After is the start revision of the watch.
	After uint64
	// Held holds files whose content need not be read again.
	Held []config.File
}

// Apply requests that the node apply a valid version. Versions are applied in order.
type Apply struct {
	Bundle   *Bundle
	Document ValidDocument
}

// Rejected reports a version that failed validation.
type Rejected struct {
	Rejection
}

func (SendGossip) effect() {}
func (SendPull) effect()   {}
func (ReadSource) effect() {}
func (Apply) effect()      {}
func (Rejected) effect()   {}
