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
	record host.Record
	copies int       // how often the record is still to be passed on
	since  time.Time // when the record changed or lost its listing
	listed bool
}

// bucket is a part of the listed records.
type bucket struct {
	hash    uint64
	size    int
	differs time.Time // since when peers differ, without a change here
}

// compare notes a peer's hash and reports whether it differs.
func (b *bucket) compare(theirs uint64, now time.Time) bool {
	if b.hash == theirs {
		b.differs = time.Time{}
		return false
	}
	if b.differs.IsZero() {
		b.differs = now
	}
	return true
}

// records is the table of host records. Only records of listed hosts count in
// the hashes, so that a record that some nodes have dropped already makes no
// difference to repair. It is not safe for concurrent use.
type records struct {
	byHost   map[host.ID]*entry
	buckets  [bucketCount]bucket
	unlisted int
}

func newRecords() *records {
	return &records{byHost: map[host.ID]*entry{}}
}

// put stores a record when it is newer than the known one.
func (r *records) put(record host.Record, listed bool, copies int, now time.Time) bool {
	known, ok := r.byHost[record.ID]
	if ok && !record.NewerThan(known.record) {
		return false
	}
	if !ok && !listed && r.unlisted >= maxUnlisted {
		return false
	}
	if ok {
		r.count(known, -1)
	}
	next := &entry{record: record, copies: copies, since: now, listed: listed}
	r.byHost[record.ID] = next
	r.count(next, 1)
	return true
}

// count adds an entry to, or with sign -1 takes it from, the sums. Adding and
// removing are the same operation on a hash, since sums are by exclusive or.
func (r *records) count(e *entry, sign int) {
	if !e.listed {
		r.unlisted += sign
		return
	}
	b := &r.buckets[bucketOf(e.record.ID)]
	b.hash ^= hashOf(e.record)
	b.size += sign
	b.differs = time.Time{}
}

// agree notes that a peer has the same records.
func (r *records) agree() {
	for i := range r.buckets {
		r.buckets[i].differs = time.Time{}
	}
}

// relist notes which hosts are listed now.
func (r *records) relist(listed func(host.ID) bool, now time.Time) {
	for id, e := range r.byHost {
		is := listed(id)
		if is == e.listed {
			continue
		}
		r.count(e, -1)
		e.listed = is
		e.since = now
		r.count(e, 1)
	}
}

// expire drops unlisted records that have not changed for a period.
func (r *records) expire(now time.Time, period time.Duration, keep host.ID) []host.ID {
	var dropped []host.ID
	for id, e := range r.byHost {
		if !e.listed && id != keep && now.Sub(e.since) >= period {
			r.count(e, -1)
			delete(r.byHost, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// hash is the hash over all listed records. It is never 0.
func (r *records) hash() uint64 {
	var raw [8 * bucketCount]byte
	for i, b := range r.buckets {
		binary.LittleEndian.PutUint64(raw[8*i:], b.hash)
	}
	return max(1, xxhash.Sum64(raw[:]))
}

func (r *records) bucketHashes() []uint64 {
	out := make([]uint64, bucketCount)
	for i, b := range r.buckets {
		out[i] = b.hash
	}
	return out
}

// inBuckets returns the listed records of some buckets, in order of ID.
func (r *records) inBuckets(wanted []uint32) []host.Record {
	var out []host.Record
	for id, e := range r.byHost {
		if e.listed && slices.Contains(wanted, bucketOf(id)) {
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

func bucketOf(id host.ID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % bucketCount)
}

// hashOf identifies a record by its host and its (Boot, Sequence).
func hashOf(record host.Record) uint64 {
	raw := make([]byte, 16, 16+len(record.ID))
	binary.LittleEndian.PutUint64(raw, uint64(record.BootMillis))
	binary.LittleEndian.PutUint64(raw[8:], record.Sequence)
	return xxhash.Sum64(append(raw, record.ID...))
}
