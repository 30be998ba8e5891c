package intake

import (
	"sync/atomic"
	"time"
)

// rateLimit is a lock-free rate limiter after the generic cell rate algorithm (ITU-T
// I.371). Its only state is the theoretical arrival time: the time at which the requests
// admitted so far would have arrived at an even rate. The interval may change from call to
// call, as shares do.
type rateLimit struct {
	theoreticalArrival atomic.Int64 // Unix nanoseconds
}

// exceedsBurst reports whether requests are ahead of the rate by more than burst.
func (r *rateLimit) exceedsBurst(now int64, burst time.Duration) bool {
	return r.theoreticalArrival.Load() > now+int64(burst)
}

// record counts one request. The theoretical arrival time is at most one burst and one
// interval ahead of now, so that the use of spare capacity does not reduce a caller's
// later share.
func (r *rateLimit) record(now int64, interval, burst time.Duration) {
	for {
		old := r.theoreticalArrival.Load()
		next := min(max(old, now)+int64(interval), now+int64(burst+interval))
		if r.theoreticalArrival.CompareAndSwap(old, next) {
			return
		}
	}
}
