package gate

import "time"

// Permit is the right to send one admitted request to the backend server. Its holder
// calls Done exactly once; later calls have no effect.
type Permit struct {
	gate    *Gate
	request Request
	account *account
	started time.Time
	// overdueAt is when the running request becomes overdue; zero if unknown.
	overdueAt time.Time
	// charged is the service time that the account was charged in advance, in seconds.
	charged float64
	// sequence is the number of this admission in the gate's count.
	sequence uint64
	// epoch is the limiter's epoch at admission.
	epoch uint64
	// limit is the limiter's own limit at admission.
	limit int
	// crashRecorded reports that a server crash was recorded against the request while it
	// kept running.
	crashRecorded bool
	ended         bool

	previous, next *Permit
}

// Done reports how the request ended and frees its slot.
func (p *Permit) Done(o Outcome) {
	p.gate.done(p, o)
}

// runningList holds the running permits, oldest first.
type runningList struct {
	head, tail *Permit
	count      int
}

func (l *runningList) add(p *Permit) {
	p.previous = l.tail
	if l.tail == nil {
		l.head = p
	} else {
		l.tail.next = p
	}
	l.tail = p
	l.count++
}

func (l *runningList) remove(p *Permit) {
	if p.previous == nil {
		l.head = p.next
	} else {
		p.previous.next = p.next
	}
	if p.next == nil {
		l.tail = p.previous
	} else {
		p.next.previous = p.previous
	}
	p.previous, p.next = nil, nil
	l.count--
}

// overdue reports whether at least half of the running requests, and at least minOverdue
// of them, are overdue.
func (l *runningList) overdue(now time.Time, epoch uint64) bool {
	if l.count < minOverdue {
		return false
	}
	overdue := 0
	for p := l.head; p != nil; p = p.next {
		if p.epoch == epoch && !p.overdueAt.IsZero() && now.After(p.overdueAt) {
			overdue++
		}
	}
	return overdue >= minOverdue && 2*overdue >= l.count
}

// minOverdue is the least number of overdue requests that signals a cold server.
const minOverdue = 3
