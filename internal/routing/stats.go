package routing

import (
	"math"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

const (
	// latencyWeight is the share of a new sample in the moving average.
	latencyWeight = 0.1
	// loadReportTTL is how long a load report counts; its weight falls linearly
	// to nothing over this time.
	loadReportTTL = 2 * time.Second
	// leavingReportTTL is how long an answer that says leaving or down keeps a
	// server out while no record says so.
	leavingReportTTL = 10 * time.Second
	// recentFailureWindow is how long a connection failure counts as a sign that the
	// whole data centre may be in trouble.
	recentFailureWindow = 2 * time.Second
	// backOffBase is how long a sender avoids a server after a failure; it
	// doubles with each further one in a row, up to backOffMax.
	backOffBase = 250 * time.Millisecond
	backOffMax  = 10 * time.Second
)

// Stats is what one sender knows first-hand of a host. All fields are atomics;
// it outlives the pools that point to it.
type Stats struct {
	outstanding atomic.Int64
	report      atomic.Uint64 // packedLoad
	reportAt    atomic.Int64  // Unix nanoseconds, 0 is never
	leavingAt   atomic.Int64  // Unix nanoseconds, 0 is not leaving
	latency     atomic.Uint64 // float64 bits, nanoseconds
	failures    atomic.Int64  // in a row
	failedAt    atomic.Int64  // Unix nanoseconds
	answeredAt  atomic.Int64  // Unix nanoseconds
}

// Outcome is the end of one request to a host.
type Outcome struct {
	// At is when it ended.
	At time.Time
	// Latency is the time from sending to the end of the answer.
	Latency time.Duration
	// Err is nil for an answer.
	Err error
}

// Begin counts a request as outstanding. Choose does so itself; only a sender
// that picks a host by other means calls Begin.
func (s *Stats) Begin() {
	s.outstanding.Add(1)
}

// tryBegin counts a request as outstanding unless limit ones are already.
func (s *Stats) tryBegin(limit int64) bool {
	for {
		current := s.outstanding.Load()
		if current >= limit {
			return false
		}
		if s.outstanding.CompareAndSwap(current, current+1) {
			return true
		}
	}
}

// Finish ends a request that Begin or Choose counted. Call it exactly once.
func (s *Stats) Finish(o Outcome) {
	s.outstanding.Add(-1)
	if o.Err == nil {
		s.failures.Store(0)
		s.answeredAt.Store(o.At.UnixNano())
		s.addLatency(o.Latency)
		return
	}
	switch verdict.Of(o.Err).Reason {
	case verdict.ReasonUnreachable, verdict.ReasonConnectionLost, verdict.ReasonCutAnswer:
		s.failedAt.Store(o.At.UnixNano())
		s.failures.Add(1)
	case verdict.ReasonLeaving:
		s.leavingAt.Store(o.At.UnixNano())
	}
}

// Observe takes the load that came with an answer. Call it before Finish, so
// that the sender's own share of the reported load is known.
func (s *Stats) Observe(l Load, now time.Time) {
	otherSenders := l.Running + l.Queued - int(s.outstanding.Load())
	s.report.Store(uint64(packLoad(otherSenders, l.Limit, l.State)))
	s.reportAt.Store(now.UnixNano())
	if l.State == host.StateLeaving || l.State == host.StateDown {
		s.leavingAt.Store(now.UnixNano())
		return
	}
	s.leavingAt.Store(0)
}

// Outstanding returns the number of requests that this sender waits for.
func (s *Stats) Outstanding() int {
	return int(s.outstanding.Load())
}

// Latency returns the moving average of the latency; 0 before the first answer.
func (s *Stats) Latency() time.Duration {
	return time.Duration(math.Float64frombits(s.latency.Load()))
}

// Failures returns the number of connection failures in a row.
func (s *Stats) Failures() int {
	return int(s.failures.Load())
}

func (s *Stats) addLatency(sample time.Duration) {
	for {
		old := s.latency.Load()
		average := math.Float64frombits(old)
		if average == 0 {
			average = float64(sample)
		}
		average += latencyWeight * (float64(sample) - average)
		if s.latency.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}

// reportedLeaving reports whether a recent answer said leaving or down.
func (s *Stats) reportedLeaving(now int64) bool {
	at := s.leavingAt.Load()
	return at != 0 && now-at < int64(leavingReportTTL)
}

// failedRecently reports whether the last request failed, not long ago.
func (s *Stats) failedRecently(now int64) bool {
	return s.failures.Load() > 0 && now-s.failedAt.Load() < int64(recentFailureWindow)
}

// recentReport returns the last report and its weight in thousandths, 0 when it is
// too old.
func (s *Stats) recentReport(now int64) (packedLoad, int64) {
	const fullWeight = 1000
	at := s.reportAt.Load()
	if at == 0 {
		return 0, 0
	}
	age := max(now-at, 0)
	if age >= int64(loadReportTTL) {
		return 0, 0
	}
	return packedLoad(s.report.Load()), fullWeight - age*fullWeight/int64(loadReportTTL)
}

// backingOff reports whether failures in a row keep new requests away. After
// the back-off a single request tries the host.
func (s *Stats) backingOff(now int64) bool {
	failures := s.failures.Load()
	if failures == 0 {
		return false
	}
	doublings := min(failures-1, 10)
	wait := min(backOffBase<<doublings, backOffMax)
	return now-s.failedAt.Load() < int64(wait) || s.outstanding.Load() > 0
}
