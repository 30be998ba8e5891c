package linkbudget

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// slowShare and normalShare are the shares of the configured rate below which a link
	// counts as slow, and from which it counts as normal again.
	slowShare, normalShare = 0.5, 0.8
	// meanBytesWeight is the weight of the latest large answer in their mean size.
	meanBytesWeight = 0.05
)

// Link drives a Schedule and a RateMeter with the clock, timers and waiting goroutines. It
// is safe for concurrent use.
type Link struct {
	// backlog returns the bytes that were written to the link and not delivered yet; nil if
	// unknown.
	backlog func() int64

	mu       sync.Mutex
	schedule Schedule
	meter    *RateMeter
	// sent and small count the bytes of large and of small responses.
	sent, small int64
	refused     uint64
	// endedAt is when a response last ended, and finished counts the bytes sent of those that
	// have.
	endedAt   time.Time
	finished  int64
	meanBytes float64
	timer     *time.Timer
	// slow reports that the rate is below slowShare of the configured one; onSlow is called
	// when that changes, after mu was released. slowChange is a change not reported yet.
	slow       bool
	slowChange *slowChange
	onSlow     func(slow bool, rate, bound int64)
}

// slowChange describes that a link became slow or normal again.
type slowChange struct {
	slow        bool
	rate, bound int64
}

// NewLink returns the link of a host. A rate of 0 means that it is unknown: then nothing is
// reserved or paced.
func NewLink(bytesPerSecond float64, backlog func() int64) *Link {
	return &Link{meter: NewRateMeter(bytesPerSecond), backlog: backlog}
}

// OnSlow sets a function that is called when the link becomes slow or normal again, with
// the measured and the configured rate.
func (l *Link) OnSlow(fn func(slow bool, rate, bound int64)) { l.onSlow = fn }

// Enabled reports whether the link's rate is known.
func (l *Link) Enabled() bool { return l.meter.bound > 0 }

// Status is a link's state for reports.
type Status struct {
	// Delay is the time until all that is reserved has been sent.
	Delay time.Duration
	// Rate is the rate for large responses, Bound the configured one, in bytes per second.
	Rate, Bound int64
	// Reserved is the number of bytes that are reserved.
	Reserved int64
	// AnswersPerSecond is the number of large answers of the mean size that the link carries;
	// 0 while there were none.
	AnswersPerSecond float64
	// Sent counts the bytes of large responses that have ended.
	Sent int64
	// Refused counts the refusals for lack of capacity.
	Refused uint64
}

// Status returns the link's state.
func (l *Link) Status() Status {
	l.mu.Lock()
	defer l.unlock()
	now := l.update()
	perSecond := 0.0
	if l.meanBytes > 0 {
		perSecond = l.schedule.rate / l.meanBytes
	}
	return Status{
		AnswersPerSecond: perSecond,
		Delay:            l.schedule.Room(now), Rate: int64(l.schedule.rate), Bound: int64(l.meter.bound),
		Reserved: l.schedule.Reserved(now), Sent: l.finished, Refused: l.refused,
	}
}

// update sets the schedule's rate and returns the time.
func (l *Link) update() time.Time {
	now := time.Now()
	l.schedule.SetRate(l.meter.Rate(now))
	l.schedule.SetQueue(l.meter.deliveries.queue(now))
	l.checkSlow(l.meter.Measured(now))
	return now
}

// checkSlow records when the measured rate becomes slow or normal again.
func (l *Link) checkSlow(measured float64) {
	share := slowShare
	if l.slow {
		share = normalShare
	}
	slow := measured < share*l.meter.bound
	if slow == l.slow {
		return
	}
	l.slow, l.slowChange = slow, &slowChange{slow: slow, rate: int64(measured), bound: int64(l.meter.bound)}
}

// unlock releases l.mu and reports a change of slow, which may block.
func (l *Link) unlock() {
	change := l.slowChange
	l.slowChange = nil
	l.mu.Unlock()
	if change != nil && l.onSlow != nil {
		l.onSlow(change.slow, change.rate, change.bound)
	}
}

// Reserve reserves capacity or returns the time until there is some.
func (l *Link) Reserve(r Request) (*Reservation, time.Duration) {
	l.mu.Lock()
	defer l.unlock()
	reservation, wait := l.schedule.Reserve(r, l.update())
	if reservation == nil {
		l.refused++
	}
	return reservation, wait
}

// TransferTime returns the time that sending n bytes takes.
func (l *Link) TransferTime(n int64) time.Duration {
	l.mu.Lock()
	defer l.unlock()
	l.update()
	return l.schedule.TransferTime(n)
}

// RecordSmall records a response that is sent outside of the schedule.
func (l *Link) RecordSmall(bytes int64) {
	l.mu.Lock()
	defer l.unlock()
	l.small += bytes
	l.meter.RecordSmall(bytes, time.Now())
}

// Release frees the capacity of a response that is not sent. r may be nil.
func (l *Link) Release(r *Reservation) {
	if r != nil {
		l.release(r, 0, 0)
	}
}

// release frees a reservation and the granted bytes that were not sent. read is the number
// of bytes of its response that were.
func (l *Link) release(r *Reservation, unsent, read int64) {
	l.mu.Lock()
	defer l.unlock()
	select {
	case granted := <-r.grant:
		unsent += granted // granted after the receiver had gone
	default:
	}
	l.sent -= unsent
	l.finished += read
	l.schedule.Refund(unsent)
	l.schedule.Release(r)
	l.endedAt = time.Now()
	l.dispatch()
}

// Send returns a response's body that is read at the pace of the schedule and frees its
// reservation when it ends. r may be nil: capacity is then reserved in any case. A
// reservation whose size was estimated is corrected if the response states its length.
func (l *Link) Send(ctx context.Context, r *Reservation, body io.ReadCloser, stated Request) io.ReadCloser {
	l.mu.Lock()
	defer l.unlock()
	now := l.update()
	if !l.schedule.Sending() {
		l.meter.deliveries.recordIdle(now.Sub(later(l.schedule.freeAt, l.endedAt)))
	}
	if r == nil {
		r = l.schedule.Force(stated)
	}
	if stated.Bytes >= 0 {
		bytes := l.schedule.SentUntil(stated.Bytes, stated.Deadline, now)
		l.recordMean(float64(bytes))
		l.schedule.Adjust(r, bytes, now)
	} else {
		l.schedule.Adjust(r, r.remaining, now)
	}
	return &pacedBody{ReadCloser: body, ctx: ctx, link: l, reservation: r, unread: stated.Bytes}
}

func (l *Link) recordMean(bytes float64) {
	if l.meanBytes == 0 {
		l.meanBytes = bytes
	}
	l.meanBytes += meanBytesWeight * (bytes - l.meanBytes)
}

// acquire waits until the next part may be sent. It returns the number of bytes that the
// link has been given by then.
func (l *Link) acquire(ctx context.Context, r *Reservation, granted *int64) (mark int64, err error) {
	l.mu.Lock()
	l.schedule.Wait(r)
	l.dispatch()
	l.unlock()
	select {
	case *granted = <-r.grant:
		l.mu.Lock()
		defer l.unlock()
		return l.sent + l.small, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// dispatch grants the parts that may be sent now. l.mu must be held.
func (l *Link) dispatch() {
	now := l.update()
	for l.schedule.Waiting() {
		if l.blocked(now) {
			l.wakeAt(now.Add(sampleInterval), now)
			return
		}
		r, bytes, again := l.schedule.Next(now)
		if r == nil {
			l.wakeAt(again, now)
			return
		}
		l.sent += bytes
		r.grant <- bytes
	}
}

// blocked samples the backlog and reports whether it must shrink before more is sent.
func (l *Link) blocked(now time.Time) bool {
	if l.backlog == nil {
		return false
	}
	if l.meter.Due(now) {
		l.meter.Sample(l.sent+l.small, l.backlog(), now)
		l.schedule.SetRate(l.meter.Rate(now))
	}
	return l.meter.Blocked()
}

// wakeAt schedules the next dispatch.
func (l *Link) wakeAt(at, now time.Time) {
	if l.timer != nil {
		l.timer.Reset(at.Sub(now))
		return
	}
	l.timer = time.AfterFunc(at.Sub(now), func() {
		l.mu.Lock()
		defer l.unlock()
		l.dispatch()
	})
}

// pacedBody is the body of a large response.
type pacedBody struct {
	io.ReadCloser
	ctx         context.Context
	link        *Link
	reservation *Reservation
	// granted is the rest of the present part, unread that of the body; negative if unknown.
	granted, unread int64
	// read is the number of bytes read so far.
	read int64
	// sentMark is the number of bytes that the link had been given when the last part was
	// granted, at sentAt.
	sentMark int64
	sentAt   time.Time
	once     sync.Once
}

// Read waits for the next part. It fails if the context ends first.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.unread == 0 {
		return b.end(b.ReadCloser.Read(p)) // only the end follows
	}
	if b.granted <= 0 {
		mark, err := b.link.acquire(b.ctx, b.reservation, &b.granted)
		if err != nil {
			return b.end(0, err)
		}
		b.sentMark, b.sentAt = mark, time.Now()
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.granted)])
	b.granted -= int64(n)
	b.unread -= int64(n)
	b.read += int64(n)
	return b.end(n, err)
}

// end releases the reservation at the end of the body.
func (b *pacedBody) end(n int, err error) (int, error) {
	if err != nil {
		b.release()
	}
	return n, err
}

func (b *pacedBody) release() {
	b.once.Do(func() { b.link.release(b.reservation, b.granted, b.read) })
}

// Close releases the rest of the reservation.
func (b *pacedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

// Delivered records that the receiver has read the whole answer.
func (b *pacedBody) Delivered() {
	if b.sentAt.IsZero() {
		return
	}
	b.link.mu.Lock()
	defer b.link.mu.Unlock()
	now := time.Now()
	b.link.meter.deliveries.record(b.sentMark, now.Sub(b.sentAt), now)
}
