package linkbudget

import "time"

const (
	// queueLag is the lag of deliveries above their least one from which the link is taken
	// to have a queue outside of this host: in a shaper, a relay or the buffers of a
	// receiver. It exceeds the time that a small host takes to read an answer.
	queueLag = 25 * time.Millisecond
	// baseLagRise is the rise of the least lag for each delivery, so that it follows a change
	// of the route, or of the load of small receivers, within a minute.
	baseLagRise = 100 * time.Microsecond
	// deliveryTime is the time over which the rate of deliveries is measured, if all of them
	// are late. It holds some large answers of a narrow link, so that a receiver that is slow
	// by itself does not count.
	deliveryTime = 150 * time.Millisecond
	// deliveryWeight is the weight of a measurement, deliveryRecoverShare the rise for a
	// delivery without a queue, as a share of the configured rate.
	deliveryWeight, deliveryRecoverShare = 0.7, 0.002
	// drainShare is the share of the measured rate that is used until the queue is gone:
	// small answers wait in it, too.
	drainShare = 0.7
	// minDeliveryShare bounds the estimate below: deliveries are also late when the
	// receivers are slow, and then sending less does not help.
	minDeliveryShare = 0.3
)

// deliveryMeter estimates the rate of a link from the times at which large answers were
// read by their receivers. It notices queues that this host's kernel doesn't know. The zero
// value is not ready; RateMeter sets its bound.
type deliveryMeter struct {
	bound, rate float64
	baseLag     time.Duration
	// lag is how much later than the least lag the latest answer was delivered, at.
	lag time.Duration
	at  time.Time
	// queuedSince is when the first delivery of the present measurement was late, and
	// queuedMark the bytes sent before its end; draining reports that there is a queue.
	queuedSince time.Time
	queuedMark  int64
	draining    bool
}

// record records that an answer was delivered a time after its last part was sent. mark is
// the number of bytes that the link had been given by then.
func (d *deliveryMeter) record(mark int64, lag time.Duration, now time.Time) {
	if d.at.IsZero() {
		d.baseLag = lag
	}
	d.baseLag = min(lag, d.baseLag+baseLagRise)
	d.at, d.lag = now, lag-d.baseLag
	if d.lag < queueLag {
		d.queuedSince, d.draining = time.Time{}, false
		d.rate = min(d.rate+deliveryRecoverShare*d.bound, d.bound)
		return
	}
	if d.queuedSince.IsZero() {
		d.queuedSince, d.queuedMark = now, mark
		return
	}
	elapsed := now.Sub(d.queuedSince)
	if elapsed < deliveryTime {
		return
	}
	measured := min(max(float64(mark-d.queuedMark)/elapsed.Seconds(), minDeliveryShare*d.bound), d.bound)
	d.rate += deliveryWeight * (measured - d.rate)
	d.queuedSince, d.queuedMark, d.draining = now, mark, true
}

// recordIdle records that nothing was sent for a time. If that is longer than the queue
// outside of this host lasts, the link was idle, and a measurement would show the load
// instead of the rate.
func (d *deliveryMeter) recordIdle(gap time.Duration, now time.Time) {
	if gap > max(d.queue(now), sendBurst) {
		d.queuedSince = time.Time{}
	}
}

// usable returns the rate that is used at a time.
func (d *deliveryMeter) usable(now time.Time) float64 {
	rate := relax(d.rate, d.bound, now.Sub(d.at))
	if d.draining && now.Sub(d.at) <= maxSampleInterval {
		rate *= drainShare
	}
	return rate
}

// queue returns the time that an answer waits in the queue outside of this host.
func (d *deliveryMeter) queue(now time.Time) time.Duration {
	return max(d.lag-now.Sub(d.at), 0)
}
