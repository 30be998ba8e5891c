package spread

import "time"

// Class is the traffic class of a control message, which determines its urgency when the
// byte budget is short.
type Class uint8

// Traffic classes, the most urgent first.
const (
	ClassLeaving     Class = iota // marks and records of leaving hosts
	ClassVersions                 // announcements and files of versions
	ClassRecords                  // other host records
	ClassAntiEntropy              // anti-entropy
	classCount
)

// frameBytes is charged per message for its frame and packet headers.
const frameBytes = 80

// starvationLimit is how long a class may wait before it is as urgent as versions, so
// that no class starves as long as leaving marks are few.
const starvationLimit = 10 * time.Second

// Budget is a token bucket of control bytes with a reserve for each class: a class may
// send while the bucket has more tokens than the reserve of the class. Messages are not
// split, so one message may make the number of tokens negative; later messages wait
// until it is refilled. Budget is not safe for concurrent use.
type Budget struct {
	rate, burst  float64
	tokens       float64
	last         time.Time
	waitingSince [classCount]time.Time
	// Sent counts sent bytes by class; Deferred counts denied messages by class.
	Sent, Deferred [classCount]uint64
}

// NewBudget returns a full bucket of burst bytes that is refilled at rate bytes per
// second.
func NewBudget(rate, burst int, now time.Time) *Budget {
	return &Budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst), last: now}
}

// Allow reports whether a message of a class may be sent now. If not, the sender has to
// retry later.
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

// Charge deducts the bytes of a sent message.
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

// reserve returns the number of tokens that a class leaves to more urgent classes. A
// leaving mark may borrow the tokens of one second. A starved class is as urgent as
// versions, and versions leave it a small reserve.
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

// starved reports whether a class has waited for longer than starvationLimit. After three
// times that limit the wait is discarded, since its sender no longer retries.
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
