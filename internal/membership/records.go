package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/host"
)

// bucketCount is the number of hash buckets in which peers compare their records.
const bucketCount = 64

// maxUnlisted is the most records kept of hosts that are missing from the host list.
const maxUnlisted = 4096

// entry is a record with its gossip and host list state.
type entry struct {
	record          host.Record
	retransmitsLeft int       // number of pushes still to be made
	changedAt       time.Time // when the record or listed last changed
	listed          bool
}

// bucket summarises the listed records whose IDs hash to it.
type bucket struct {
	hash uint64
	size int
	// divergedSince is when a peer first differed after the last local change or match. It
	// is zero if none has.
	divergedSince time.Time
}

// compareHash reports whether a peer's hash differs and updates divergedSince.
func (b *bucket) compareHash(peerHash uint64, now time.Time) bool {
	if b.hash == peerHash {
		b.divergedSince = time.Time{}
		return false
	}
	if b.divergedSince.IsZero() {
		b.divergedSince = now
	}
	return true
}

// recordTable holds the host records. The hashes cover only the records of listed hosts, so
// that an unlisted record that some nodes have already expired does not trigger a repair.
// It is not safe for concurrent use.
type recordTable struct {
	byHost   map[host.ID]*entry
	buckets  [bucketCount]bucket
	unlisted int
}

func newRecordTable() *recordTable {
	return &recordTable{byHost: map[host.ID]*entry{}}
}

// put stores a record if it is newer than the known one and reports whether it did. A new
// unlisted record is rejected when the table holds maxUnlisted of them.
func (r *recordTable) put(record host.Record, listed bool, retransmits int, now time.Time) bool {
	known, ok := r.byHost[record.ID]
	if ok && !record.NewerThan(known.record) {
		return false
	}
	if !ok && !listed && r.unlisted >= maxUnlisted {
		return false
	}
	if ok {
		r.updateTotals(known, -1)
	}
	updated := &entry{record: record, retransmitsLeft: retransmits, changedAt: now, listed: listed}
	r.byHost[record.ID] = updated
	r.updateTotals(updated, 1)
	return true
}

// updateTotals adds an entry to the counts and bucket hashes, or removes it if sign is -1.
// The bucket hash is an exclusive or, for which adding and removing are the same operation.
func (r *recordTable) updateTotals(e *entry, sign int) {
	if !e.listed {
		r.unlisted += sign
		return
	}
	b := &r.buckets[bucketIndex(e.record.ID)]
	b.hash ^= versionHash(e.record)
	b.size += sign
	b.divergedSince = time.Time{}
}

// clearDivergence resets divergedSince of all buckets after a peer had the same hash.
func (r *recordTable) clearDivergence() {
	for i := range r.buckets {
		r.buckets[i].divergedSince = time.Time{}
	}
}

// updateListed updates which entries are listed after a change of the host list.
func (r *recordTable) updateListed(listed func(host.ID) bool, now time.Time) {
	for id, e := range r.byHost {
		nowListed := listed(id)
		if nowListed == e.listed {
			continue
		}
		r.updateTotals(e, -1)
		e.listed = nowListed
		e.changedAt = now
		r.updateTotals(e, 1)
	}
}

// expireUnlisted deletes the unlisted records, other than that of self, that have not
// changed for the retention period. It returns their hosts.
func (r *recordTable) expireUnlisted(now time.Time, retention time.Duration, self host.ID) []host.ID {
	var dropped []host.ID
	for id, e := range r.byHost {
		if !e.listed && id != self && now.Sub(e.changedAt) >= retention {
			r.updateTotals(e, -1)
			delete(r.byHost, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// hash returns the hash over all listed records. It is never 0.
func (r *recordTable) hash() uint64 {
	var raw [8 * bucketCount]byte
	for i, b := range r.buckets {
		binary.LittleEndian.PutUint64(raw[8*i:], b.hash)
	}
	return max(1, xxhash.Sum64(raw[:]))
}

func (r *recordTable) bucketHashes() []uint64 {
	out := make([]uint64, bucketCount)
	for i, b := range r.buckets {
		out[i] = b.hash
	}
	return out
}

// inBuckets returns the listed records of the wanted buckets, sorted by host ID.
func (r *recordTable) inBuckets(wanted []uint32) []host.Record {
	var out []host.Record
	for id, e := range r.byHost {
		if e.listed && slices.Contains(wanted, bucketIndex(id)) {
			out = append(out, e.record)
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

func compareRecords(a, b host.Record) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	default:
		return 0
	}
}

func bucketIndex(id host.ID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % bucketCount)
}

// versionHash returns a hash of the record's host, BootMillis and Sequence, which together
// identify its version.
func versionHash(record host.Record) uint64 {
	raw := make([]byte, 16, 16+len(record.ID))
	binary.LittleEndian.PutUint64(raw, uint64(record.BootMillis))
	binary.LittleEndian.PutUint64(raw[8:], record.Sequence)
	return xxhash.Sum64(append(raw, record.ID...))
}
