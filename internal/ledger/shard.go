package ledger

import (
	"container/list"
	"sync"
	"time"
)

// shard is one part of the ledger with its own lock.
type shard struct {
	mu      sync.Mutex
	entries map[string]*Entry
	// finished holds the finished entries in the order of their expiry.
	finished list.List
	// lastUntimedRefusal is the last refusal of an untimed key that found no place;
	// untimed keys are refused for a re-send window after it.
	lastUntimedRefusal time.Time
}

// lookup returns the entry of a key after dropping the expired ones.
func (l *Ledger) lookup(s *shard, scopedKey string, now time.Time) *Entry {
	for front := s.finished.Front(); front != nil; front = s.finished.Front() {
		e := front.Value.(*Entry)
		if now.Before(e.expires) {
			break
		}
		l.remove(s, e)
	}
	return s.entries[scopedKey]
}

// insert adds a running entry, or returns nil when the ledger is full.
func (l *Ledger) insert(s *shard, scopedKey string) *Entry {
	if l.entryCount.Add(1) > int64(l.cfg.MaxEntries) {
		l.entryCount.Add(-1)
		return nil
	}
	e := &Entry{ledger: l, scopedKey: scopedKey, running: true, done: make(chan struct{})}
	s.entries[scopedKey] = e
	return e
}

// startExpiry starts the horizon of an ended entry, or starts it again.
func (l *Ledger) startExpiry(s *shard, e *Entry, now time.Time) {
	e.expires = now.Add(l.retention)
	if e.expiryElement != nil {
		s.finished.MoveToBack(e.expiryElement)
		return
	}
	e.expiryElement = s.finished.PushBack(e)
}

// remove removes an entry and its answer.
func (l *Ledger) remove(s *shard, e *Entry) {
	delete(s.entries, e.scopedKey)
	l.entryCount.Add(-1)
	if e.answer != nil {
		l.storedBytes.Add(-int64(e.answer.size()))
	}
	if e.expiryElement != nil {
		s.finished.Remove(e.expiryElement)
		e.expiryElement = nil
	}
}
