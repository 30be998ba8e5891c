// Package quota limits the requests of each workspace, summed over all nodes. One node,
// the home of the workspace, keeps its token bucket; the entry nodes ask it for credits,
// each of which permits one request. The modules of this package use no network and no
// clock: the caller passes the time.
package quota

import (
	"time"

	"boragefall/internal/mesh"
)

// The excess that is tolerated in a window has three uses. jitterShare of it adds to the
// burst, since requests reach the home at other intervals than callers sent them.
// initialShare is the initial credit, and refillShare the refill, of a ledger that must
// assume that another one is granting as well.
const (
	jitterShare  = 0.1
	initialShare = 0.6
	refillShare  = 0.3
)

// Tolerance is how much the operators let a workspace exceed its quota.
type Tolerance struct {
	// Window is the window in which requests are counted.
	Window time.Duration
	// Overshoot is the share by which a quota may be exceeded in a window, and Slack the
	// number of requests in addition.
	Overshoot, Slack float64
}

// excess returns the number of requests in a window that may exceed the quota.
func (t Tolerance) excess(q mesh.Quota) float64 {
	return t.Overshoot*t.permitted(q) + t.Slack
}

// burst returns the capacity of a workspace's bucket.
func (t Tolerance) burst(q mesh.Quota) float64 {
	return q.Burst + jitterShare*t.excess(q)
}

// reserve returns the credits that a ledger may grant beside another one: the initial
// credit, and the refill per second. A small quota needs little for the time in which
// ledgers may disagree, and a node may be restarted several times in a window.
func (t Tolerance) reserve(q mesh.Quota) (initial, perSecond float64) {
	excess := t.excess(q)
	initial = min(initialShare*excess, q.Rate*SettleTime.Seconds()+1)
	return initial, refillShare * excess / t.Window.Seconds()
}

// permitted returns the number of requests in a window that the quota itself permits.
func (t Tolerance) permitted(q mesh.Quota) float64 {
	return q.Rate*t.Window.Seconds() + q.Burst
}

// Bound returns the greatest number of requests in a window.
func (t Tolerance) Bound(q mesh.Quota) float64 {
	return t.permitted(q) + t.excess(q)
}
