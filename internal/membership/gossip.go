package membership

import (
	"cmp"
	"slices"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/spread"
	"boragefall/internal/wire"
)

// Limits on the records and buckets in one gossip message.
const (
	maxPendingRecords = 32
	maxRepairRecords  = 256
	maxEmptyBuckets   = 16
	maxRepairBuckets  = 2
)

// A bucket that differs from a peer's most likely differs by a record that is still being
// pushed. A bucket is therefore repaired only after it has differed from all compared peers
// for repairDelay without a local change, or when maxRepairInterval has passed since the
// last repair.
const (
	repairDelay       = 2 * time.Second
	maxRepairInterval = 10 * time.Second
)

var _ spread.Records = (*Registry)(nil)

// Pending reports whether changed records wait to be pushed, and how urgently.
func (r *Registry) Pending(time.Time) spread.Urgency {
	r.mu.Lock()
	defer r.mu.Unlock()
	urgency := spread.NothingPending
	for id := range r.pending {
		if r.records.byHost[id].record.State == host.StateLeaving {
			return spread.LeavingPending
		}
		urgency = spread.RecordsPending
	}
	return urgency
}

// AddOwnRecord adds this host's own record to an outgoing gossip message.
func (r *Registry) AddOwnRecord(out *wire.Gossip) {
	out.Records = append(out.Records, recordToWire(r.Own()))
}

// AddRecordHash adds the hash over all listed records to an outgoing gossip message.
func (r *Registry) AddRecordHash(out *wire.Gossip) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out.RecordHash = r.records.hash()
}

// AddPendingRecords adds the records that wait to be pushed to an outgoing gossip message.
func (r *Registry) AddPendingRecords(_ time.Time, out *wire.Gossip) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.nextPending() {
		pending := r.records.byHost[id]
		out.Records = append(out.Records, recordToWire(pending.record))
		if pending.retransmitsLeft--; pending.retransmitsLeft <= 0 {
			delete(r.pending, id)
		}
	}
}

// nextPending returns the hosts whose records are pushed first: leaving hosts, then those
// with the most retransmits left.
func (r *Registry) nextPending() []host.ID {
	ids := make([]host.ID, 0, len(r.pending))
	for id := range r.pending {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b host.ID) int {
		entryA, entryB := r.records.byHost[a], r.records.byHost[b]
		aLeaving, bLeaving := entryA.record.State == host.StateLeaving, entryB.record.State == host.StateLeaving
		if aLeaving != bLeaving {
			if aLeaving {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(entryB.retransmitsLeft, entryA.retransmitsLeft), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), maxPendingRecords)]
}

// MergeGossip merges the records of a received gossip message and fills in the reply unless
// it is nil. The reply carries the records of the buckets that the peer requested. If the
// peer requested none but sent a record hash that differs, the reply carries the bucket
// hashes.
func (r *Registry) MergeGossip(now time.Time, in, reply *wire.Gossip) {
	r.mergeRecords(now, in.GetRecords())
	if reply == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.RecordHash = r.records.hash()
	if wanted := in.GetWantedBuckets(); len(wanted) > 0 {
		reply.Records = r.recordsMissingAt(in.GetRecords(), wanted)
	} else if in.GetRecordHash() != 0 && in.GetRecordHash() != reply.RecordHash {
		reply.BucketHashes = r.records.bucketHashes()
	}
}

// recordsMissingAt returns this node's records of the wanted buckets that are missing from
// peerRecords or newer than the peer's.
func (r *Registry) recordsMissingAt(peerRecords []*wire.HostRecord, wanted []uint32) []*wire.HostRecord {
	peerByHost := make(map[host.ID]host.Record, len(peerRecords))
	for _, encoded := range peerRecords {
		if record, ok := recordFromWire(encoded); ok {
			peerByHost[record.ID] = record
		}
	}
	var out []*wire.HostRecord
	for _, record := range r.records.inBuckets(wanted) {
		if peerRecord, known := peerByHost[record.ID]; known && !record.NewerThan(peerRecord) {
			continue
		}
		if out = append(out, recordToWire(record)); len(out) == maxRepairRecords {
			break
		}
	}
	return out
}

// MergeReply merges the records of a reply. When the reply carries bucket hashes and some
// differing buckets are due for repair, MergeReply returns a follow-up that carries this
// node's records of these buckets and requests the peer's.
func (r *Registry) MergeReply(now time.Time, reply *wire.Gossip) *wire.Gossip {
	r.mergeRecords(now, reply.GetRecords())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(reply.GetBucketHashes()) != bucketCount {
		if reply.GetRecordHash() == r.records.hash() {
			r.records.clearDivergence()
		}
		return nil
	}
	wanted := r.bucketsToRepair(now, reply.GetBucketHashes())
	if len(wanted) == 0 {
		return nil
	}
	r.lastRepairAt = now
	followUp := &wire.Gossip{RecordHash: r.records.hash(), WantedBuckets: wanted}
	for _, record := range r.records.inBuckets(wanted) {
		if followUp.Records = append(followUp.Records, recordToWire(record)); len(followUp.Records) == maxRepairRecords {
			break
		}
	}
	return followUp
}

// bucketsToRepair returns the differing buckets to repair now. Empty buckets, as a new node
// has them, come first and without delay; if there are none, it returns the few that have
// differed longest.
func (r *Registry) bucketsToRepair(now time.Time, peerHashes []uint64) []uint32 {
	var empty, filled []uint32
	for i := range r.records.buckets {
		switch b := &r.records.buckets[i]; {
		case !b.compareHash(peerHashes[i], now):
		case b.size == 0:
			empty = append(empty, uint32(i))
		default:
			filled = append(filled, uint32(i))
		}
	}
	if len(empty) > 0 {
		return empty[:min(len(empty), maxEmptyBuckets)]
	}
	divergedSince := func(i uint32) time.Time { return r.records.buckets[i].divergedSince }
	slices.SortFunc(filled, func(a, b uint32) int { return divergedSince(a).Compare(divergedSince(b)) })
	filled = filled[:min(len(filled), maxRepairBuckets)]
	if len(filled) > 0 && now.Sub(divergedSince(filled[0])) < repairDelay && now.Sub(r.lastRepairAt) < maxRepairInterval {
		return nil
	}
	return slices.DeleteFunc(filled, func(i uint32) bool {
		return i != filled[0] && now.Sub(divergedSince(i)) < repairDelay
	})
}
