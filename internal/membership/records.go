package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/host"
)

// bucketCount is the number of buckets that records are compared by.
const bucketCount = 64

// maxUnlisted bounds the records of hosts that the list does not name.
const maxUnlisted = 4096

// entry is one known record.
type entry struct {
	record          host.Record
	retransmitsLeft int       // how often the record is still to be passed on
	changedAt       time.Time // when the record changed or lost its listing
	listed          bool
}

// bucket is a part of the listed records.
type bucket struct {
	hash          uint64
	size          int
	divergedSince time.Time // since when peers differ, without a change here
}

// compareHash notes a peer's hash and reports whether it differs.
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

// recordTable is the table of host recordTable. Only recordTable of listed hosts count in
// the hashes, so that a record that some nodes have dropped already makes no
// difference to repair. It is not safe for concurrent use.
type recordTable struct {
	byHost   map[host.ID]*entry
	buckets  [bucketCount]bucket
	unlisted int
}

func newRecordTable() *recordTable {
	return &recordTable{byHost: map[host.ID]*entry{}}
}

// put stores a record when it is newer than the known one.
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

// updateTotals adds an entry to, or with sign -1 takes it from, the sums. Adding and
// removing are the same operation on a hash, since sums are by exclusive or.
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

// clearDivergence notes that a peer has the same records.
func (r *recordTable) clearDivergence() {
	for i := range r.buckets {
		r.buckets[i].divergedSince = time.Time{}
	}
}

// updateListed notes which hosts are listed now.
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

// expireUnlisted drops unlisted records that have not changed for a retention.
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

// hash is the hash over all listed records. It is never 0.
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

// inBuckets returns the listed records of some buckets, in order of ID.
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

// versionHash identifies a record by its host and its (Boot, Sequence).
func versionHash(record host.Record) uint64 {
	raw := make([]byte, 16, 16+len(record.ID))
	binary.LittleEndian.PutUint64(raw, uint64(record.BootMillis))
	binary.LittleEndian.PutUint64(raw[8:], record.Sequence)
	return xxhash.Sum64(append(raw, record.ID...))
}
