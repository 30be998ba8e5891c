package listen

import (
	"container/list"
	"time"
)

const (
	// headAgeFactor weighs the time that a connection sits in an unfinished head against
	// idle time. A head arrives in some milliseconds, while ordinary clients keep
	// connections idle for 12 s and more: half a second in a head counts as 10 s idle.
	headAgeFactor = 20
	// headByteCost and headLineCost are the memory of a head by byte and line: net/http keeps
	// a line's text, its name in a map and a list of values, about 130 bytes a line.
	headByteCost = 2
	headLineCost = 160
	// freeHeadBytes is the memory of a head that its connection accounts for, so that heads
	// of 2 KiB and 50 lines take nothing from the memory of large heads.
	freeHeadBytes = 12 << 10
)

// phase is what a connection does.
type phase int

const (
	// phaseHead: no request is complete. A connection that has sent nothing is in it, too.
	phaseHead phase = iota
	// phaseServing: from the start of a request's handler until its answer is written.
	phaseServing
	// phaseIdle: between two requests.
	phaseIdle
	phaseClosed
)

// entry is a connection in a table.
type entry struct {
	phase phase
	since time.Time
	cost  int64
	place *list.Element // in the list of its phase; nil while it serves a request
	// close closes the connection.
	close func()
}

// table holds the connections of one listener, ordered by the time of their phase. It is
// not safe for concurrent use.
type table struct {
	limit       int
	count       int
	heads, idle list.List
}

// add adds a connection in phaseHead. At the limit it returns the connection to close: the
// one that sits longest, or the new one when all others serve requests.
func (t *table) add(e *entry, now time.Time) (victim *entry) {
	if t.count >= t.limit {
		if victim = t.longest(now); victim == nil {
			e.phase = phaseClosed
			return e
		}
		t.remove(victim)
	}
	t.count++
	t.move(e, phaseHead, now)
	return victim
}

// longest returns the connection that may be closed with the least harm, or nil.
func (t *table) longest(now time.Time) *entry {
	head, idle := front(&t.heads), front(&t.idle)
	switch {
	case head == nil:
		return idle
	case idle == nil || now.Sub(head.since)*headAgeFactor >= now.Sub(idle.since):
		return head
	default:
		return idle
	}
}

func front(l *list.List) *entry {
	if l.Front() == nil {
		return nil
	}
	return l.Front().Value.(*entry)
}

// move changes the phase of a connection. It does nothing if the connection is closed.
func (t *table) move(e *entry, to phase, now time.Time) {
	if e.phase == phaseClosed {
		return
	}
	t.unlink(e)
	e.phase, e.since = to, now
	switch to {
	case phaseHead:
		e.place = t.heads.PushBack(e)
	case phaseIdle:
		e.place = t.idle.PushBack(e)
	}
}

// remove removes a connection. It reports whether it was in the table.
func (t *table) remove(e *entry) bool {
	if e.phase == phaseClosed {
		return false
	}
	t.unlink(e)
	e.phase = phaseClosed
	t.count--
	return true
}

func (t *table) unlink(e *entry) {
	if e.place == nil {
		return
	}
	t.heads.Remove(e.place) // a list ignores the elements of another
	t.idle.Remove(e.place)
	e.place = nil
}

// headCost returns the memory of a head beyond the part that its connection accounts for.
func headCost(bytes, lines int) int64 {
	return max(int64(bytes)*headByteCost+int64(lines)*headLineCost-freeHeadBytes, 0)
}
