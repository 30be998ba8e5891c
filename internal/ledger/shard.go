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
	// ended holds the ended entries in the order of their expiry.
	ended list.List
	// untimedSince is the last refusal of an untimed key that found no place;
	// untimed keys are refused for a re-send window after it.
	untimedSince time.Time
}

// find returns the entry of a key after dropping the expired ones.
func (l *Ledger) find(s *shard, scoped string, now time.Time) *Entry {
	for front := s.ended.Front(); front != nil; front = s.ended.Front() {
		e := front.Value.(*Entry)
		if now.Before(e.expires) {
			break
		}
		l.forget(s, e)
	}
	return s.entries[scoped]
}

// insert adds a running entry, or returns nil when the ledger is full.
func (l *Ledger) insert(s *shard, scoped string) *Entry {
	if l.count.Add(1) > int64(l.cfg.MaxEntries) {
		l.count.Add(-1)
		return nil
	}
	e := &Entry{ledger: l, scoped: scoped, running: true, done: make(chan struct{})}
	s.entries[scoped] = e
	return e
}

// remember starts the horizon of an ended entry, or starts it again.
func (l *Ledger) remember(s *shard, e *Entry, now time.Time) {
	e.expires = now.Add(l.keep)
	if e.element != nil {
		s.ended.MoveToBack(e.element)
		return
	}
	e.element = s.ended.PushBack(e)
}

// forget removes an entry and its answer.
func (l *Ledger) forget(s *shard, e *Entry) {
	delete(s.entries, e.scoped)
	l.count.Add(-1)
	if e.answer != nil {
		l.bytes.Add(-int64(e.answer.size()))
	}
	if e.element != nil {
		s.ended.Remove(e.element)
		e.element = nil
	}
}
