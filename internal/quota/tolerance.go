// Package quota limits the requests of each workspace, summed over all nodes. One node,
// the home of the workspace, keeps its token bucket; the entry nodes ask it for credits,
// each of which permits one request. The modules of this package use no network and no
// clock: the caller passes the time.
package quota

import (
	"time"

	"boragefall/internal/mesh"
)

// parts is the number of equal parts into which the tolerated excess is split. One part
// adds to the burst, for the time between a caller's request and its credit; one each is
// the initial credit and the refill of a ledger that must assume that another one is
// still granting.
const parts = 3

// Tolerance is how much the operators let a workspace exceed its quota.
type Tolerance struct {
	// Window is the window in which requests are counted.
	Window time.Duration
	// Overshoot is the share by which a quota may be exceeded in a window, and Slack the
	// number of requests in addition.
	Overshoot, Slack float64
}

// part returns one part of the tolerated excess in a window, in requests.
func (t Tolerance) part(q mesh.Quota) float64 {
	return (t.Overshoot*t.permitted(q) + t.Slack) / parts
}

// permitted returns the number of requests in a window that the quota itself permits.
func (t Tolerance) permitted(q mesh.Quota) float64 {
	return q.Rate*t.Window.Seconds() + q.Burst
}

// Bound returns the greatest number of requests in a window.
func (t Tolerance) Bound(q mesh.Quota) float64 {
	return (1+t.Overshoot)*t.permitted(q) + t.Slack
}
