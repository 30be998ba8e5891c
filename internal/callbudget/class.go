package callbudget

import (
	"math"
	"time"
)

// class holds the observations and the limit of one class of runs.
type class struct {
	// arrived and started count the requests and the runs that were started. ended counts
	// the runs that ended, endedCalling those of them that made a call. calling counts the
	// runs that have made their first call, and refused those that had one refused, when that
	// happened.
	arrived, started, ended, endedCalling, calling, refused decayingCount
	// calls counts the calls, late those that were answered after their objective.
	calls, late decayingCount
	// recentlyStarted and wasted count the runs that were started and those that had a call
	// refused, over evidenceTime.
	recentlyStarted, wasted decayingCount
	services                []service

	// limit is the permitted rate of new runs per second; 0 while there is no limit. tokens
	// is the number of runs that may start at once.
	limit, tokens float64
	grownAt       time.Time
	// loweredAt is when the limit was last lowered: refused calls of runs that started before
	// that time don't lower it again.
	loweredAt time.Time
	// refusedAt is the time of the latest refused call, refusedBy the service that refused
	// it, and capacityAt when that service expects capacity.
	refusedAt, capacityAt time.Time
	// lateAt is when a call was last answered after its objective.
	lateAt time.Time
	// succeededAt is when a run last ended after calls of which none was refused. Until the
	// limit reaches fastBelow, such a run shows that the called service has recovered.
	succeededAt time.Time
	fastBelow   float64
	refusedBy   string
}

// service counts the calls of a class to one service.
type service struct {
	name           string
	calls, refused decayingCount
}

func newClass() *class {
	slow := decayingCount{timeConstant: evidenceTime}
	return &class{recentlyStarted: slow, wasted: slow}
}

func (c *class) limited() bool {
	return c.limit > 0
}

// take starts a run, or refuses it. It returns what the run takes of the limit.
func (c *class) take(r Request, now time.Time) (tokens float64, refusal *Refusal) {
	c.grow(now)
	if !c.limited() {
		c.recordStart(now)
		return 0, nil
	}
	if r.Hedge || c.tokens < 1 && !r.Nested && !c.worthStarting(r, now) {
		return 0, &Refusal{RetryAfter: c.retryAfter(now), Service: c.refusedBy}
	}
	// Runs beyond the limit leave no debt: the called service refused their calls already.
	tokens = min(c.tokens, 1)
	c.tokens -= tokens
	c.recordStart(now)
	return tokens, nil
}

func (c *class) recordStart(now time.Time) {
	c.started.add(1, now)
	c.recentlyStarted.add(1, now)
}

// withdrawStart takes back a run that took a number of tokens. A run beyond the limit took
// none, and returns none.
func (c *class) withdrawStart(tokens float64, now time.Time) {
	c.started.add(-1, now)
	c.recentlyStarted.add(-1, now)
	if c.limited() {
		c.tokens += tokens
	}
}

// worthStarting reports whether a run beyond the limit should start. If many runs of the class
// make no calls, refusing it loses a run that may succeed. That is worth it only if the run
// takes the slot of another request and is likelier to be wasted than to succeed.
func (c *class) worthStarting(r Request, now time.Time) bool {
	if c.callingShare(now) >= indispensableShare {
		return false
	}
	return !r.Contended || c.wastedShare(now) <= acceptedWaste
}

// callingShare returns the share of the recent runs that made calls. Without recent runs
// every run counts as calling, as those that set the limit did.
func (c *class) callingShare(now time.Time) float64 {
	ended := c.ended.valueAt(now)
	if ended < 1 {
		return 1
	}
	return c.endedCalling.valueAt(now) / ended
}

// retryAfter returns when one more run may start: when the limit permits it and the called
// service expects capacity.
func (c *class) retryAfter(now time.Time) time.Duration {
	untilToken := time.Duration((1 - c.tokens) / c.limit * float64(time.Second))
	return min(max(untilToken, c.capacityAt.Sub(now), minRetryAfter), maxRetryAfter)
}

// grow raises the limit and refills the tokens for the time since the last call. The limit
// ends when it is well above the rate of arrivals.
func (c *class) grow(now time.Time) {
	if !c.limited() {
		return
	}
	elapsed := max(now.Sub(c.grownAt), 0).Seconds()
	c.grownAt = now
	rate, quiet := slowGrowth, now.Sub(c.refusedAt)
	switch {
	case now.Sub(c.lateAt) < lateHold:
		rate = 0
	case quiet > endTime || c.succeededAt.After(c.refusedAt) && c.limit < c.fastBelow:
		rate = fastGrowth
	case quiet > quietTime:
		rate = quietGrowth
	}
	c.limit *= math.Exp(rate * elapsed)
	if quiet > endTime && c.limit > limitHeadroom*max(c.arrived.perSecond(now), minRunsPerSecond) {
		c.limit, c.tokens, c.fastBelow = 0, 0, 0
		return
	}
	c.tokens = min(c.tokens+c.limit*elapsed, max(c.limit*burstTime.Seconds(), 1))
}

// recordCall counts a call by the called service.
func (c *class) recordCall(call Call, now time.Time) {
	s := c.service(call.Service, now)
	s.calls.add(1, now)
	c.calls.add(1, now)
	if call.Late {
		c.late.add(1, now)
		c.lateAt = now
	}
	if !call.Refused {
		return
	}
	s.refused.add(1, now)
	c.refusedAt, c.refusedBy, c.capacityAt = now, call.Service, now.Add(call.RetryAfter)
}

// service returns the counts of a called service. It replaces the service that was called
// least when there are too many.
func (c *class) service(name string, now time.Time) *service {
	least := 0
	for i := range c.services {
		if c.services[i].name == name {
			return &c.services[i]
		}
		if c.services[i].calls.valueAt(now) < c.services[least].calls.valueAt(now) {
			least = i
		}
	}
	if len(c.services) < maxServices {
		c.services = append(c.services, service{name: name})
		return &c.services[len(c.services)-1]
	}
	c.services[least] = service{name: name}
	return &c.services[least]
}

// lower lowers the limit after a call of a run was refused, once for all runs that started
// before the last decrease. The called service bears the share of the runs whose calls it
// does not refuse.
func (c *class) lower(r *Run, byServer bool, now time.Time) (Limit, bool) {
	c.refused.add(1, now)
	c.wasted.add(1, now)
	if !r.budget.limits {
		return Limit{}, false
	}
	c.grow(now)
	if c.wasted.valueAt(now) < minRefusedRuns || c.wastedShare(now) <= toleratedWaste {
		return Limit{}, false
	}
	if c.limited() && !r.startedAt.After(c.loweredAt) {
		return Limit{}, false
	}
	share := min(c.refused.valueAt(now)/max(c.calling.valueAt(now), 1), 1)
	if byServer && share < hopelessShare {
		return Limit{}, false
	}
	rate := c.started.perSecond(now)
	if c.limited() {
		rate = min(rate, c.limit)
	}
	if share < hopelessShare || c.fastBelow == 0 {
		// Without an answered call, the rate says nothing about what the called service bears.
		c.fastBelow = rate / 2
	}
	c.limit = max(limitMargin*rate*(1-share), minRunsPerSecond)
	c.tokens = min(c.tokens, 1)
	c.grownAt, c.loweredAt = now, now
	callsPerRun := c.service(c.refusedBy, now).calls.valueAt(now) / max(c.started.valueAt(now), 1)
	return Limit{RunsPerSecond: c.limit, RefusedShare: share, CallsPerRun: callsPerRun}, true
}

// lowerForDelay lowers an existing limit when many calls are late, once for all runs that
// started before the last decrease: queues at the called service precede refusals.
func (c *class) lowerForDelay(r *Run, now time.Time) {
	c.grow(now)
	if !c.limited() || !r.startedAt.After(c.loweredAt) || c.late.valueAt(now) < max(1, lateShare*c.calls.valueAt(now)) {
		return
	}
	c.limit = max(limitMargin*min(c.limit, c.started.perSecond(now)), minRunsPerSecond)
	c.loweredAt = now
}

// wastedShare returns the share of the recent runs that had a call refused. Runs in progress
// count as good, so that routes that call rarely are not limited.
func (c *class) wastedShare(now time.Time) float64 {
	return c.wasted.valueAt(now) / max(c.recentlyStarted.valueAt(now), c.wasted.valueAt(now), 1)
}

// recordEnd counts a run that ended.
func (c *class) recordEnd(r *Run, now time.Time) {
	c.ended.add(1, now)
	if r.calling {
		c.endedCalling.add(1, now)
	}
	if r.calling && !r.refused {
		c.succeededAt = now
	}
}
