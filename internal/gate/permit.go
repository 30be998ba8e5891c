package gate

import "time"

// Permit is the right to send one admitted request to the backend server. Its
// holder calls Done exactly once; later calls have no effect.
type Permit struct {
	gate    *Gate
	request Request
	account *account
	started time.Time
	// overdueAt is when the request has run suspiciously long; zero if unknown.
	overdueAt time.Time
	// charged is the service time that the account paid in advance, in seconds.
	charged float64
	// sequence counts the gate's admissions.
	sequence uint64
	// epoch is the limiter's epoch at admission.
	epoch uint64
	// limit is the limiter's own limit at admission.
	limit int
	// crashRecorded reports that a crash of the server was put down to the request
	// among others, while it ran.
	crashRecorded bool
	ended         bool

	previous, next *Permit
}

// Done reports how the request ended and gives its slot to the next one.
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

// overdue reports whether most of the running requests, and no fewer than
// minOverdue, have run suspiciously long.
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

// minOverdue is the least number of overdue requests that mean a cold server.
const minOverdue = 3
