package spread

import (
	"time"

	"boragefall/internal/wire"
)

// Urgency determines how soon pending host records are sent.
type Urgency uint8

// Urgencies of pending host records.
const (
	NothingPending Urgency = iota
	RecordsPending         // at the next tick
	LeavingPending         // at once: a host is leaving
)

// Records handles the host records of a gossip exchange.
type Records interface {
	// Pending returns the urgency of changed records that have to be pushed.
	Pending(now time.Time) Urgency
	// AddOwnRecord adds the record of this host, which contains its address, for a
	// receiver that may not have the host list yet.
	AddOwnRecord(out *wire.Gossip)
	// AddRecordHash adds the hash of all records to an outgoing gossip, which requests
	// a comparison from the receiver. The hash is never 0.
	AddRecordHash(out *wire.Gossip)
	// AddPendingRecords adds pending records to an outgoing gossip.
	AddPendingRecords(now time.Time, out *wire.Gossip)
	// MergeGossip merges the records of a received gossip and adds records to the
	// reply unless it is nil.
	MergeGossip(now time.Time, in, reply *wire.Gossip)
	// MergeReply merges the records of a reply and returns a follow-up message for the
	// same peer, or nil.
	MergeReply(now time.Time, reply *wire.Gossip) *wire.Gossip
}

// noRecords implements Records without any host records.
type noRecords struct{}

func (noRecords) AddRecordHash(*wire.Gossip)                        {}
func (noRecords) AddOwnRecord(*wire.Gossip)                         {}
func (noRecords) Pending(time.Time) Urgency                         { return NothingPending }
func (noRecords) AddPendingRecords(time.Time, *wire.Gossip)         {}
func (noRecords) MergeGossip(time.Time, *wire.Gossip, *wire.Gossip) {}
func (noRecords) MergeReply(time.Time, *wire.Gossip) *wire.Gossip   { return nil }
