package sidecar

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/verdict"
)

// errTooLateToAnswer ends a body that arrives so late that a stopping node could not
// deliver the answer.
var errTooLateToAnswer = eris.New("the node stops before the request could be answered")

// answerDeliveryReserve is the time reserved at the end of a drain for the delivery of an
// answer to the caller.
const answerDeliveryReserve = 100 * time.Millisecond

// drainEnd is the time until which a stopping node delivers answers. The zero value is
// that of a node that is not stopping. It is safe for concurrent use.
type drainEnd struct {
	at atomic.Pointer[time.Time]
}

// set records that the node is stopping and delivers answers until a time.
func (d *drainEnd) set(at time.Time) {
	at = at.Add(-answerDeliveryReserve)
	d.at.Store(&at)
}

// permits reports whether a request that takes a given time may start now.
func (d *drainEnd) permits(now time.Time, duration time.Duration) bool {
	at := d.at.Load()
	return at == nil || !now.Add(duration).After(*at)
}

// limit returns the earlier of a deadline and the end of the drain.
func (d *drainEnd) limit(deadline time.Time) time.Time {
	if at := d.at.Load(); at != nil && (deadline.IsZero() || at.Before(deadline)) {
		return *at
	}
	return deadline
}

// drainLimitedBody is a body that is sent while it arrives. It fails once the rest of the
// drain is shorter than the request is expected to take.
type drainLimitedBody struct {
	io.Reader
	drain        *drainEnd
	expectedTime time.Duration
}

// Read reads the body.
func (b *drainLimitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 && !b.drain.permits(time.Now(), b.expectedTime) {
		return 0, verdict.New(verdict.MayHaveRun, verdict.ReasonLeaving, errTooLateToAnswer)
	}
	return n, err
}
