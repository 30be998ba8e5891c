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
	arrival atomic.Int64 // Unix nanoseconds
}

// ahead reports whether requests are further ahead of the rate than burst.
func (r *rateLimit) ahead(now int64, burst time.Duration) bool {
	return r.arrival.Load() > now+int64(burst)
}

// note counts one request. It never runs further ahead than a burst and one
// interval, so that use of free capacity is not held against a caller later.
func (r *rateLimit) note(now int64, interval, burst time.Duration) {
	for {
		old := r.arrival.Load()
		next := min(max(old, now)+int64(interval), now+int64(burst+interval))
		if r.arrival.CompareAndSwap(old, next) {
			return
		}
	}
}
