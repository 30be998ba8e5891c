package intake

import (
	"sync/atomic"
	"time"
)

// rateLimit is a token bucket in one word: the time at which all admitted
// requests would have arrived, had they come evenly (generic cell rate
// algorithm, ITU-T I.371). It has no lock, and the interval may change from
// call to call as shares do.
type rateLimit struct {
	theoreticalArrival atomic.Int64 // Unix nanoseconds
}

// exceedsBurst reports whether requests are further exceedsBurst of the rate than burst.
func (r *rateLimit) exceedsBurst(now int64, burst time.Duration) bool {
	return r.theoreticalArrival.Load() > now+int64(burst)
}

// record counts one request. It never runs further ahead than a burst and one
// interval, so that use of free capacity is not held against a caller later.
func (r *rateLimit) record(now int64, interval, burst time.Duration) {
	for {
		old := r.theoreticalArrival.Load()
		next := min(max(old, now)+int64(interval), now+int64(burst+interval))
		if r.theoreticalArrival.CompareAndSwap(old, next) {
			return
		}
	}
}
