// Package linkbudget makes the outbound link of a host a resource of admission: capacity
// for a large response is reserved before its request runs.
//
// Schedule and RateMeter decide without clocks or goroutines; Link drives them.
package linkbudget

import (
	"slices"
	"time"
)

const (
	// maxPartBytes and partTime bound the parts in which a large response is sent: a small
	// response that becomes ready waits for one part. On wide links a part takes partTime.
	maxPartBytes = 16 << 10
	partTime     = 5 * time.Millisecond
	// stallTime is the time without progress after which a response that is not read takes
	// no capacity. It exceeds the time that a part takes on the narrowest links.
	stallTime = 100 * time.Millisecond
	// overloadMemory is how long after a refusal the link counts as fully used. A caller
	// that comes back does so within about a second.
	overloadMemory = time.Second
	// sendBurst is the time by which sending may run ahead of the rate after a late timer;
	// timers of a busy host fire some milliseconds late.
	sendBurst = 10 * time.Millisecond
)

// Request describes an expected response.
type Request struct {
	// Bytes is its expected size.
	Bytes int64
	// ReadyIn is the expected time until the server has responded.
	ReadyIn time.Duration
	// Due is when the response should have been sent. It is earlier than Latest, by which it
	// must have been sent to be on time, since run times and sizes vary.
	Due, Latest time.Time
	// Deadline is when the response becomes useless.
	Deadline time.Time
	// MustRun reports that a refusal would waste work already done for the request.
	MustRun bool
	// Spare reports that the request may only use capacity that no other needs.
	Spare bool
}

// Reservation is capacity for one response.
type Reservation struct {
	// remaining is the number of bytes that are still to be sent, as far as known.
	remaining int64
	// latest is when the response must have been sent to be on time, deferredUntil when at
	// the latest it must be sent if it is late.
	latest, deferredUntil time.Time
	// started reports that the server has responded, waiting that the next part can be
	// sent now, and activeAt is when the latest part was granted.
	started, waiting bool
	activeAt         time.Time
	// grant receives the sizes of the parts that may be sent.
	grant chan int64
}

// Schedule plans the large responses of one link. It is not safe for concurrent use.
type Schedule struct {
	// rate is in bytes per second.
	rate float64
	// queue is the time that what is sent waits outside of this host.
	queue time.Duration
	// freeAt is when the parts granted so far have been sent.
	freeAt       time.Time
	reservations []*Reservation
	// refusedAt is when capacity was last refused to a response that could have been on
	// time on an idle link.
	refusedAt time.Time
}

// newReservation returns a reservation. What a response should be sent before it is late
// is also left before its deadline, for the same reasons.
func newReservation(r Request) *Reservation {
	return &Reservation{
		remaining: r.Bytes, latest: r.Latest, deferredUntil: r.Deadline.Add(r.Due.Sub(r.Latest)), grant: make(chan int64, 1),
	}
}

// SetRate sets the rate in bytes per second.
func (s *Schedule) SetRate(rate float64) { s.rate = rate }

// SetQueue sets the time that what is sent waits outside of this host.
func (s *Schedule) SetQueue(d time.Duration) { s.queue = d }

// TransferTime returns the time that sending n bytes takes.
func (s *Schedule) TransferTime(n int64) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / s.rate * float64(time.Second))
}

// Reserve reserves capacity for a response that will be on time and makes no other one
// late. If there is none, it returns nil and the time until there is. A response that can't
// be on time even on an idle link gets capacity only while no other one is refused any.
func (s *Schedule) Reserve(r Request, now time.Time) (*Reservation, time.Duration) {
	added := newReservation(r)
	fastest := now.Add(r.ReadyIn + s.queue + s.TransferTime(r.Bytes))
	before := s.plan(nil, now)
	after := s.plan(added, now)
	hopeless := fastest.After(r.Due)
	onTime := !hopeless && !after.isLate(added) && len(after.late) <= len(before.late) && !after.finish.After(r.Due)
	useful := !now.Add(s.Room(now) + s.TransferTime(r.Bytes)).After(r.Deadline)
	switch {
	case r.MustRun:
	case onTime && !(r.Spare && s.overloaded(now)):
	case hopeless && useful && !r.Spare && !s.overloaded(now):
	default:
		if !hopeless {
			s.refusedAt = now
		}
		return nil, s.availableIn(r, fastest, now)
	}
	s.reservations = append(s.reservations, added)
	return added, 0
}

// availableIn returns the time until a request like r has capacity: until then the link
// has sent what is too much now.
func (s *Schedule) availableIn(r Request, fastest, now time.Time) time.Duration {
	slack := max(r.Due.Sub(now), fastest.Sub(now))
	return max(s.Room(now)+s.TransferTime(r.Bytes)-slack, s.TransferTime(r.Bytes))
}

// Force reserves capacity for a response that is sent in any case.
func (s *Schedule) Force(r Request) *Reservation {
	added := newReservation(r)
	s.reservations = append(s.reservations, added)
	return added
}

// SentUntil returns how much of a response of n bytes the link can send until a deadline,
// at which the response is cut.
func (s *Schedule) SentUntil(n int64, deadline, now time.Time) int64 {
	if most := s.rate * max(deadline.Sub(now), 0).Seconds(); most < float64(n) {
		return int64(most)
	}
	return n
}

// Adjust corrects the size once the server has responded.
func (s *Schedule) Adjust(r *Reservation, bytes int64, now time.Time) {
	r.remaining, r.started, r.activeAt = bytes, true, now
}

// Release frees the capacity that a response has not used. Further calls have no effect.
func (s *Schedule) Release(r *Reservation) {
	if at := slices.Index(s.reservations, r); at >= 0 {
		s.reservations = slices.Delete(s.reservations, at, at+1)
	}
	r.remaining, r.waiting = 0, false
}

// Room returns the time until all that is reserved has been sent.
func (s *Schedule) Room(now time.Time) time.Duration {
	return max(s.freeAt.Sub(now), 0) + s.queue + s.TransferTime(s.Reserved(now))
}

// Reserved returns the bytes that are reserved.
func (s *Schedule) Reserved(now time.Time) int64 {
	sum := int64(0)
	for _, r := range s.reservations {
		sum += r.needed(now)
	}
	return sum
}

// needed returns the bytes that a response needs. One whose receiver stopped reading needs
// none until it reads on.
func (r *Reservation) needed(now time.Time) int64 {
	if r.started && !r.waiting && now.Sub(r.activeAt) > stallTime {
		return 0
	}
	return r.remaining
}

// Wait marks a response whose next part can be sent.
func (s *Schedule) Wait(r *Reservation) { r.waiting = true }

// Waiting reports whether the next part of a response can be sent.
func (s *Schedule) Waiting() bool {
	return slices.ContainsFunc(s.reservations, func(r *Reservation) bool { return r.waiting })
}

// Sending reports whether a response is being sent.
func (s *Schedule) Sending() bool {
	return slices.ContainsFunc(s.reservations, func(r *Reservation) bool { return r.started })
}

// Next grants the next part. It returns nil and the time at which to call it again while
// the link is busy. It is called only if a response is waiting.
func (s *Schedule) Next(now time.Time) (r *Reservation, bytes int64, again time.Time) {
	if s.freeAt.After(now) {
		return nil, 0, s.freeAt
	}
	for _, candidate := range s.plan(nil, now).order {
		if candidate.waiting {
			r = candidate
			break
		}
	}
	bytes = s.partBytes()
	if r.remaining > 0 {
		bytes = min(bytes, r.remaining)
	}
	s.freeAt = later(s.freeAt, now.Add(-sendBurst)).Add(s.TransferTime(bytes))
	r.remaining = max(r.remaining-bytes, 0)
	r.waiting, r.activeAt = false, now
	return r, bytes, time.Time{}
}

// Refund returns the capacity of granted bytes that were not sent.
func (s *Schedule) Refund(bytes int64) {
	s.freeAt = s.freeAt.Add(-s.TransferTime(bytes))
}

func (s *Schedule) partBytes() int64 {
	return max(maxPartBytes, int64(s.rate*partTime.Seconds()))
}

func (s *Schedule) overloaded(now time.Time) bool {
	return !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < overloadMemory
}

// plan is the order of the responses.
type plan struct {
	order []*Reservation
	late  []*Reservation
	// finish is when the added response is sent.
	finish time.Time
}

func (p plan) isLate(r *Reservation) bool { return slices.Contains(p.late, r) }

// plan orders the responses so that the most are on time (Moore and Hodgson): by the time
// at which they are late, and whenever one would be, the largest so far is deferred until
// its deadline comes near.
func (s *Schedule) plan(added *Reservation, now time.Time) plan {
	jobs := make([]job, 0, len(s.reservations)+1)
	for _, r := range s.reservations {
		jobs = append(jobs, s.job(r, now))
	}
	if added != nil {
		jobs = append(jobs, s.job(added, now))
	}
	sortJobs(jobs)
	begin := later(s.freeAt, now).Add(s.queue)
	var result plan
	end, kept := begin, jobs[:0:0]
	deferred := jobs[:0:0]
	for _, j := range jobs {
		kept = append(kept, j)
		end = end.Add(j.transfer)
		if !end.After(j.due) {
			continue
		}
		largest := largestJob(kept)
		end = end.Add(-kept[largest].transfer)
		dropped := kept[largest]
		result.late = append(result.late, dropped.reservation)
		dropped.due = later(dropped.reservation.deferredUntil, dropped.due)
		deferred = append(deferred, dropped)
		kept = slices.Delete(kept, largest, largest+1)
	}
	kept = append(kept, deferred...)
	sortJobs(kept)
	end = begin
	for _, j := range kept {
		end = end.Add(j.transfer)
		result.order = append(result.order, j.reservation)
		if j.reservation == added {
			result.finish = end
		}
	}
	return result
}

// job is a response in a plan.
type job struct {
	reservation *Reservation
	transfer    time.Duration
	due         time.Time
}

func (s *Schedule) job(r *Reservation, now time.Time) job {
	return job{reservation: r, transfer: s.TransferTime(r.needed(now)), due: r.latest}
}

func sortJobs(jobs []job) {
	slices.SortStableFunc(jobs, func(a, b job) int { return a.due.Compare(b.due) })
}

// largestJob returns the index of the job that takes the longest, the latest of equal ones.
func largestJob(jobs []job) int {
	largest := 0
	for i, j := range jobs {
		if j.transfer >= jobs[largest].transfer {
			largest = i
		}
	}
	return largest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
