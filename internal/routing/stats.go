package routing

import (
	"math"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// loadReportTTL is how long a load report is used; its weight falls linearly
	// to zero over this time.
	loadReportTTL = 2 * time.Second
	// leavingReportTTL is how long a server is left out after its gate reported that
	// it is leaving or down. By then the host records show it.
	leavingReportTTL = 10 * time.Second
	// recentFailureWindow is how long a connection failure counts towards the
	// ejection of the whole data centre.
	recentFailureWindow = 2 * time.Second
	// backOffBase is how long a sender prefers other servers after a failure. It doubles
	// with each further consecutive failure, up to backOffMax.
	backOffBase = 250 * time.Millisecond
	backOffMax  = 10 * time.Second
)

// Stats holds what one sender observed of a host. All fields are atomic; Stats
// outlive the pools that point to them.
type Stats struct {
	outstanding         atomic.Int64
	report              atomic.Uint64 // packedLoad
	reportAt            atomic.Int64  // Unix nanoseconds, 0 is no report
	unavailableReportAt atomic.Int64  // Unix nanoseconds of the last report of leaving or down, 0 is none
	latency             atomic.Uint64 // float64 bits, nanoseconds
	failures            atomic.Int64  // consecutive
	failedAt            atomic.Int64  // Unix nanoseconds
	answeredAt          atomic.Int64  // Unix nanoseconds
}

// Outcome is the result of one request to a host.
type Outcome struct {
	// At is when the request ended.
	At time.Time
	// Latency is the time from sending to the end of the answer.
	Latency time.Duration
	// Err is nil if the host answered.
	Err error
}

// Begin counts a request as outstanding. Choose does so itself; only a sender
// that selects a host without Choose calls Begin.
func (s *Stats) Begin() {
	s.outstanding.Add(1)
}

// tryBegin counts a request as outstanding if fewer than limit are, and reports
// whether it did.
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

// Finish records the outcome of a request that Begin or Choose counted. It must be
// called exactly once per request.
func (s *Stats) Finish(o Outcome) {
	s.outstanding.Add(-1)
	if o.Err == nil {
		s.failures.Store(0)
		s.answeredAt.Store(o.At.UnixNano())
		s.addLatency(o.Latency)
		return
	}
	switch verdict.FromError(o.Err).Reason {
	case verdict.ReasonUnreachable, verdict.ReasonConnectionLost, verdict.ReasonCutAnswer:
		s.failedAt.Store(o.At.UnixNano())
		s.failures.Add(1)
	case verdict.ReasonLeaving:
		s.unavailableReportAt.Store(o.At.UnixNano())
	}
}

// Observe records the load reported with an answer. It must be called before
// Finish, since it subtracts this sender's outstanding requests, this one
// included, from the reported load.
func (s *Stats) Observe(l Load, now time.Time) {
	othersRequests := l.Running + l.Queued - int(s.outstanding.Load())
	s.report.Store(uint64(packLoad(othersRequests, l.Limit, l.State)))
	s.reportAt.Store(now.UnixNano())
	if l.State == host.StateLeaving || l.State == host.StateDown {
		s.unavailableReportAt.Store(now.UnixNano())
		return
	}
	s.unavailableReportAt.Store(0)
}

// Outstanding returns the number of outstanding requests of this sender.
func (s *Stats) Outstanding() int {
	return int(s.outstanding.Load())
}

// Latency returns the moving average of the latency, 0 before the first answer.
func (s *Stats) Latency() time.Duration {
	return time.Duration(math.Float64frombits(s.latency.Load()))
}

// Failures returns the number of consecutive connection failures.
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

// reportedLeaving reports whether an answer or refusal recently reported leaving or
// down.
func (s *Stats) reportedLeaving(now int64) bool {
	at := s.unavailableReportAt.Load()
	return at != 0 && now-at < int64(leavingReportTTL)
}

// failedRecently reports whether a connection failed within recentFailureWindow and
// no request succeeded since.
func (s *Stats) failedRecently(now int64) bool {
	return s.failures.Load() > 0 && now-s.failedAt.Load() < int64(recentFailureWindow)
}

// recentReport returns the last load report and its weight in thousandths, which
// is 0 if the report is older than loadReportTTL.
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

// backingOff reports whether other hosts are preferred to this one because of
// consecutive failures: during the back-off, and then while a request is
// outstanding, so that one request at a time tries the host.
func (s *Stats) backingOff(now int64) bool {
	failures := s.failures.Load()
	if failures == 0 {
		return false
	}
	doublings := min(failures-1, 10)
	wait := min(backOffBase<<doublings, backOffMax)
	return now-s.failedAt.Load() < int64(wait) || s.outstanding.Load() > 0
}
