package linkbudget

import "time"

const (
	// queueLag is the lag of deliveries above their least one from which the link is taken
	// to have a queue outside of this host: in a shaper, a relay or the buffers of a
	// receiver. Small answers wait in that queue, too, and calls are to be answered within
	// 150 ms.
	queueLag = 25 * time.Millisecond
	// baseLagRise is the rise of the least lag for each delivery, so that it follows a change
	// of the route, or of the load of small receivers, within a minute.
	baseLagRise = 100 * time.Microsecond
	// deliveryTime and minDeliveries are the time and the number of deliveries over which
	// their rate is measured, if all of them are late. Receivers on small hosts are late by
	// themselves at times, but not all of so many.
	deliveryTime, minDeliveries = 200 * time.Millisecond, 8
	// maxDecrease bounds the effect of one measurement, since the times of deliveries vary.
	maxDecrease = 0.8
	// deliveryRecoverShare is the rise for a delivery without a queue, as a share of the
	// configured rate.
	deliveryRecoverShare = 0.002
	// drainShare is the share of the measured rate that is used until the queue is gone:
	// small answers wait in it, too. A queue grows to 0.1 to 0.2 s until it is measured.
	// With 0.7 instead, a third more calls were late and no more large answers on time.
	drainShare = 0.5
	// minDeliveryShare bounds the estimate below: deliveries are also late when the
	// receivers are slow, and then sending less does not help.
	minDeliveryShare = 0.3
)

// deliveryMeter estimates the rate of a link from the times at which large answers were
// read by their receivers. It notices queues that this host's kernel doesn't know. The zero
// value is not ready; RateMeter sets its bound.
type deliveryMeter struct {
	bound, rate float64
	// baseLag is the least lag, lately; at is the time of the latest delivery.
	baseLag time.Duration
	at      time.Time
	// lateSince is when the first delivery of the present measurement was late, lateMark the
	// bytes sent before its end, lateCount the number of late ones since and leastLag the
	// least of their lags above baseLag. lateSince is zero after a delivery in time.
	lateSince time.Time
	lateMark  int64
	lateCount int
	leastLag  time.Duration
	// queued is the time that answers wait outside of this host; 0 until it was measured.
	queued time.Duration
}

// record records that an answer was delivered a time after its last part was sent. mark is
// the number of bytes that the link had been given by then.
func (d *deliveryMeter) record(mark int64, lag time.Duration, now time.Time) {
	if d.at.IsZero() {
		d.baseLag = lag
	}
	d.baseLag = min(lag, d.baseLag+baseLagRise)
	d.at = now
	lag -= d.baseLag
	d.queued = min(d.queued, lag)
	switch {
	case lag < queueLag:
		d.lateSince, d.queued = time.Time{}, 0
		d.rate = min(d.rate+deliveryRecoverShare*d.bound, d.bound)
	case d.lateSince.IsZero():
		d.startMeasurement(mark, lag, now)
	default:
		d.lateCount++
		d.leastLag = min(d.leastLag, lag)
		d.measure(mark, lag, now)
	}
}

func (d *deliveryMeter) startMeasurement(mark int64, lag time.Duration, now time.Time) {
	d.lateSince, d.lateMark, d.lateCount, d.leastLag = now, mark, 0, lag
}

// measure ends a measurement once it has taken long enough.
func (d *deliveryMeter) measure(mark int64, lag time.Duration, now time.Time) {
	elapsed := now.Sub(d.lateSince)
	if elapsed < deliveryTime || d.lateCount < minDeliveries {
		return
	}
	measured := min(float64(mark-d.lateMark)/elapsed.Seconds(), d.rate)
	d.rate = max(measured, maxDecrease*d.rate, minDeliveryShare*d.bound)
	d.queued = d.leastLag
	d.startMeasurement(mark, lag, now)
}

// recordIdle records that nothing was sent for a time. If that is longer than the queue
// outside of this host lasts, the link was idle, and a measurement would show the load
// instead of the rate.
func (d *deliveryMeter) recordIdle(gap time.Duration) {
	if gap > max(d.queued, queueLag) {
		d.lateSince = time.Time{}
	}
}

// usable returns the rate that is used at a time.
func (d *deliveryMeter) usable(now time.Time) float64 {
	rate := relax(d.rate, d.bound, now.Sub(d.at))
	if d.queue(now) > 0 {
		rate *= drainShare
	}
	return rate
}

// queue returns the time that an answer waits in the queue outside of this host. It is
// refilled as long as answers are sent.
func (d *deliveryMeter) queue(now time.Time) time.Duration {
	if now.Sub(d.at) > maxSampleInterval {
		return max(d.queued-now.Sub(d.at), 0)
	}
	return d.queued
}
