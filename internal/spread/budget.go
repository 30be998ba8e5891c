package spread

import "time"

// Class orders control messages by what waits last when bytes are short.
type Class uint8

// Classes, the most urgent first.
const (
	ClassLeaving     Class = iota // marks and records of leaving hosts
	ClassVersions                 // announcements and pieces of versions
	ClassRecords                  // other host records
	ClassAntiEntropy              // anti-entropy
	classCount
)

// frameBytes is added to each message for its frame and packet headers.
const frameBytes = 80

// starvationLimit is how long a class may wait before it counts as urgent as
// versions, so that no class waits forever while leaving marks are few.
const starvationLimit = 10 * time.Second

// Budget is a token bucket of control bytes with a reserve for each class: a
// class may send while more tokens are left than its reserve. A message is
// never cut, so one message may take the bucket below zero; what follows waits
// until the debt is paid. It is not safe for concurrent use.
type Budget struct {
	rate, burst  float64
	tokens       float64
	last         time.Time
	waitingSince [classCount]time.Time
	// Sent counts bytes by class, Deferred counts refusals by class.
	Sent, Deferred [classCount]uint64
}

// NewBudget returns a full bucket of burst bytes that gains rate bytes per
// second.
func NewBudget(rate, burst int, now time.Time) *Budget {
	return &Budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst), last: now}
}

// Allow reports whether a message of a class may go now. A refused class has
// to come back.
func (b *Budget) Allow(now time.Time, class Class) bool {
	b.refill(now)
	if b.tokens > b.reserve(now, class) {
		return true
	}
	b.Deferred[class]++
	if b.waitingSince[class].IsZero() {
		b.waitingSince[class] = now
	}
	return false
}

// Charge takes the bytes of a message that goes out.
func (b *Budget) Charge(now time.Time, class Class, size int) {
	b.refill(now)
	b.waitingSince[class] = time.Time{}
	b.tokens -= float64(size + frameBytes)
	b.Sent[class] += uint64(size + frameBytes)
}

func (b *Budget) refill(now time.Time) {
	if gap := now.Sub(b.last); gap > 0 {
		b.tokens = min(b.burst, b.tokens+gap.Seconds()*b.rate)
		b.last = now
	}
}

// reserve is the number of tokens that a class leaves to more urgent ones. A
// leaving mark may borrow one second of the rate. A class that waits too long
// goes as versions do, and versions leave it a little room.
func (b *Budget) reserve(now time.Time, class Class) float64 {
	switch {
	case class == ClassLeaving:
		return -b.rate
	case class == ClassVersions && (b.starved(now, ClassRecords) || b.starved(now, ClassAntiEntropy)):
		return b.rate / 4
	case class == ClassVersions || b.starved(now, class):
		return 0
	case class == ClassRecords:
		return b.burst / 16
	default:
		return b.burst / 8
	}
}

// starved reports whether a class has waited too long. A wait that is much older
// was given up by whoever wanted to send.
func (b *Budget) starved(now time.Time, class Class) bool {
	since := b.waitingSince[class]
	if since.IsZero() {
		return false
	}
	wait := now.Sub(since)
	if wait > 3*starvationLimit {
		b.waitingSince[class] = time.Time{}
	}
	return wait >= starvationLimit && wait <= 3*starvationLimit
}
