package spread

import (
	"time"

	"boragefall/internal/wire"
)

// Urgency says how soon pending host records should go out.
type Urgency uint8

// Urgencies.
const (
	NothingPending Urgency = iota
	RecordsPending         // at the next tick
	LeavingPending         // at once: a host says that it leaves
)

// Records is the host records' share of a gossip exchange.
type Records interface {
	// Pending reports whether changed records wait to be pushed.
	Pending(now time.Time) Urgency
	// AddOwnRecord adds this host's own record, which names its address, for a
	// receiver that may not have the host list yet.
	AddOwnRecord(out *wire.Gossip)
	// AddRecordHash adds the record hash to an outgoing gossip, which asks the receiver
	// to compare. It is never 0.
	AddRecordHash(out *wire.Gossip)
	// AddPendingRecords adds pending records to an outgoing gossip.
	AddPendingRecords(now time.Time, out *wire.Gossip)
	// MergeGossip merges a received gossip and adds to its reply.
	MergeGossip(now time.Time, in, reply *wire.Gossip)
	// MergeReply merges a reply and returns a follow-up for the same peer, or nil.
	MergeReply(now time.Time, reply *wire.Gossip) *wire.Gossip
}

// noRecords takes no part in the gossip.
type noRecords struct{}

func (noRecords) AddRecordHash(*wire.Gossip)                        {}
func (noRecords) AddOwnRecord(*wire.Gossip)                         {}
func (noRecords) Pending(time.Time) Urgency                         { return NothingPending }
func (noRecords) AddPendingRecords(time.Time, *wire.Gossip)         {}
func (noRecords) MergeGossip(time.Time, *wire.Gossip, *wire.Gossip) {}
func (noRecords) MergeReply(time.Time, *wire.Gossip) *wire.Gossip   { return nil }
