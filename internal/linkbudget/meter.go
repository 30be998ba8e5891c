package linkbudget

import (
	"math"
	"time"
)

const (
	// usableShare is the share of a link's rate that is left after the headers of its
	// packets and frames, about 4% at a packet size of 1,500 bytes.
	usableShare = 0.95
	// minRateShare bounds the estimate below, so that a link that was cut off for a moment
	// is used again.
	minRateShare = 0.02
	// sampleInterval is the time between two samples of the backlog; it holds some parts.
	sampleInterval = 20 * time.Millisecond
	// measureTime is the time over which a busy link's rate is measured: acknowledgements
	// come in bursts, and the rate shall follow a change within about 0.2 s.
	measureTime = 100 * time.Millisecond
	// maxSampleInterval is the time after which two samples no longer belong together.
	maxSampleInterval = 200 * time.Millisecond
	// minBusyBytes and busyTime bound the backlog above which the link is the bottleneck: a
	// smaller one may be bytes that are on their way and not yet acknowledged. Round trips
	// take a few milliseconds.
	minBusyBytes, busyTime = 32 << 10, 20 * time.Millisecond
	// measureWeight is the weight of a measurement in the estimate, recoverShare the rise
	// for a sample without a backlog, as a share of the configured rate.
	measureWeight, recoverShare = 0.7, 0.05
	// forgetTime is the time constant with which an estimate returns to the configured rate
	// while there are no samples, so that requests refused for a slow link don't keep it
	// unmeasured.
	forgetTime = 2 * time.Second
	// otherTimeConstant is the time constant of the mean rate of small responses.
	otherTimeConstant = time.Second
)

// RateMeter estimates the rate at which a link takes large responses. It is not safe for
// concurrent use.
type RateMeter struct {
	// bound is the configured rate, measured the present one, in bytes per second.
	bound, measured float64
	// sampledAt and backlog are the latest sample, movedAt is when the backlog last moved.
	sampledAt, movedAt time.Time
	backlog            int64
	// stuck is the part of the backlog that does not move: its receivers don't read.
	stuck int64
	// busySince is when the link became busy; busyDeparted counts the bytes since then. It
	// is zero while the link is not busy.
	busySince    time.Time
	busyDeparted int64
	sent         int64
	deliveries   deliveryMeter
	// other is the rate of the small responses, at otherAt.
	other   float64
	otherAt time.Time
}

// NewRateMeter returns a meter of a link with a configured rate in bytes per second; 0
// means that the rate is unknown and nothing is planned.
func NewRateMeter(bytesPerSecond float64) *RateMeter {
	bound := usableShare * bytesPerSecond
	return &RateMeter{bound: bound, measured: bound, deliveries: deliveryMeter{bound: bound, rate: bound}}
}

// RecordSmall records a response that is sent outside of the schedule.
func (m *RateMeter) RecordSmall(bytes int64, now time.Time) {
	m.other = m.otherRate(now) + float64(bytes)/otherTimeConstant.Seconds()
	m.otherAt = now
}

func (m *RateMeter) otherRate(now time.Time) float64 {
	return m.other * math.Exp(-max(now.Sub(m.otherAt), 0).Seconds()/otherTimeConstant.Seconds())
}

// Rate returns the rate for large responses: what small ones leave of the measured one.
func (m *RateMeter) Rate(now time.Time) float64 {
	return max(m.Measured(now)-m.otherRate(now), minRateShare*m.bound)
}

// Due reports whether the backlog should be sampled.
func (m *RateMeter) Due(now time.Time) bool { return now.Sub(m.sampledAt) >= sampleInterval }

// Sample records the bytes that were written to the link in total and the backlog of them
// that was not delivered yet. It is called only while large responses are being sent.
func (m *RateMeter) Sample(sent, backlog int64, now time.Time) {
	departed := sent - m.sent - (backlog - m.backlog)
	continuous := now.Sub(m.sampledAt) <= maxSampleInterval
	if !continuous {
		m.measured, m.busySince, m.movedAt = m.relaxed(now), time.Time{}, now
	}
	m.sampledAt, m.sent, m.backlog, m.stuck = now, sent, backlog, min(m.stuck, backlog)
	if departed > 0 || m.movedAt.IsZero() {
		m.movedAt = now
	}
	if now.Sub(m.movedAt) > stallTime {
		// No receiver takes anything, which says nothing about the rate of the link.
		m.stuck = backlog
	}
	switch {
	case float64(backlog-m.stuck) < m.busyBytes():
		m.busySince = time.Time{}
		if continuous {
			m.measured = min(m.measured+recoverShare*m.bound, m.bound)
		}
	case m.busySince.IsZero():
		m.busySince, m.busyDeparted = now, 0
	case departed > 0:
		m.measure(departed, now)
	}
}

// measure adds bytes that departed from a busy link.
func (m *RateMeter) measure(departed int64, now time.Time) {
	m.busyDeparted += departed
	elapsed := now.Sub(m.busySince)
	if elapsed < measureTime {
		return
	}
	rate := min(max(float64(m.busyDeparted)/elapsed.Seconds(), minRateShare*m.bound), m.bound)
	m.measured += measureWeight * (rate - m.measured)
	m.busySince, m.busyDeparted = now, 0
}

// relaxed returns the rate measured by the backlog.
func (m *RateMeter) relaxed(now time.Time) float64 {
	return relax(m.measured, m.bound, now.Sub(m.sampledAt))
}

// relax returns a rate that returns to its bound while it is not measured.
func relax(rate, bound float64, idle time.Duration) float64 {
	if idle <= maxSampleInterval {
		return rate
	}
	return rate + (bound-rate)*(1-math.Exp(-idle.Seconds()/forgetTime.Seconds()))
}

// Measured returns the rate for all that is sent: the least of the configured and the
// measured ones.
func (m *RateMeter) Measured(now time.Time) float64 {
	return min(m.relaxed(now), m.deliveries.usable(now))
}

// Blocked reports whether the link has as much to send as it takes in sampleInterval
// beyond what is normally on its way.
func (m *RateMeter) Blocked() bool {
	return float64(m.backlog-m.stuck) > m.busyBytes()+m.measured*sampleInterval.Seconds()
}

// busyBytes returns the backlog of a link that is the bottleneck.
func (m *RateMeter) busyBytes() float64 {
	return max(minBusyBytes, m.bound*busyTime.Seconds())
}
