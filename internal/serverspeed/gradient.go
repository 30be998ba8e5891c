package serverspeed

import (
	"math"
	"time"
)

const (
	// gradientWindow is the time over which runs are compared with each other. What changes
	// more slowly, such as the mix of classes or the speed of the machine, hardly counts.
	gradientWindow = 2 * time.Second
	// minSpread is the least sum of squared deviations of the concurrency, as shares of the
	// slots, that shows the growth. Run times vary by a third, so that its random error is a
	// third at most. spreadDecay is the share that is kept of earlier windows with less.
	minSpread, spreadDecay = 1.0, 0.8
	// minWindowRuns is the least number of runs in a window that shows anything.
	minWindowRuns = 20
	// spreadOfGrowth is the spread of a window that counts as much as all before it.
	spreadOfGrowth = 1.0
	// growthMargin is the deviation of the growth from 0 from which the limit moves. The
	// growth of a server whose run times do not depend on the concurrency is 1, five times
	// its random error above.
	growthMargin = 0.1
	// minDecrease and maxDecrease bound the share of the limit by which it falls at a time.
	minDecrease, maxDecrease = 0.1, 0.25
	// limitIncrease is the share of the slots by which the limit rises at a time.
	limitIncrease = 0.125
	// limitRecovery is the share of the slots by which a limit rises in a window in which it
	// was not reached, so that old evidence ends after a minute.
	limitRecovery = 1.0 / 32
	// minLimitShare is the lowest limit as a share of the slots. If the evidence is wrong,
	// it bounds the loss.
	minLimitShare = 0.25
	// fullShare is the share of runs at the limit from which a server counts as full.
	fullShare = 0.8
	// trialDepth is the share of the slots by which the concurrency changes in a trial, and
	// trialTime the length of a trial. A server that is always full shows nothing about
	// another concurrency otherwise. minTrialInterval and maxTrialInterval bound the time
	// between two trials, which doubles until the limit changes.
	trialDepth, trialTime              = 0.35, time.Second
	minTrialInterval, maxTrialInterval = 4 * time.Second, time.Minute
	// trialGrowth is the growth below which a trial is worth its cost: the runs seen while
	// the load rose or fell must have shown that less concurrency may be better. Trials
	// without that cost a third of the throughput of all servers at once, at the begin of
	// an overload.
	trialGrowth = 0.5
	// firstTrialWindows is the number of windows in a row in which a server was full before
	// it ever showed its growth, after which a trial is made without that reason.
	firstTrialWindows = 5
)

// gradient finds the concurrency up to which the throughput of a server grows, from how
// the time of its runs depends on the number of running requests. Within a window it fits
// log(time) = a + b x concurrency; the throughput grows with the concurrency as long as
// b x concurrency is below 1.
type gradient struct {
	slots int
	// limit is the concurrency; it is kept as a fraction for small steps.
	limit float64
	// growth is the relative growth of the throughput with the concurrency at the limit,
	// from 1 where run times do not depend on it to below 0 where less is better.
	growth float64
	// spread and covariance are the sums of squared deviations of x and of the products
	// with those of y, each within its window, since the growth was last evaluated.
	spread, covariance float64
	// known reports that the growth was evaluated, and fullWindows counts the windows in a
	// row in which the server was full.
	known       bool
	fullWindows int

	// windowStart is when the present window began. The sums are over its runs, with x the
	// concurrency as a share of the slots and y the logarithm of the relative time.
	windowStart              time.Time
	runs, runsAtLimit        int
	sumX, sumY, sumXX, sumXY float64
	trialUntil, nextTrial    time.Time
	trialInterval            time.Duration
	windows                  uint32
}

func newGradient(slots int) gradient {
	return gradient{slots: slots, limit: float64(slots), growth: 1, trialInterval: minTrialInterval}
}

// concurrency returns the number of requests that may run now, which differs from the limit
// in a trial: there is less of it where the limit is near the slots, and more elsewhere.
func (g *gradient) concurrency(now time.Time) int {
	if !now.Before(g.trialUntil) {
		return g.rounded(g.limit)
	}
	if depth := trialDepth * float64(g.slots); g.limit+depth > float64(g.slots) {
		return g.rounded(g.limit - depth)
	}
	return g.rounded(g.limit + trialDepth*float64(g.slots))
}

func (g *gradient) rounded(limit float64) int {
	return min(max(int(math.Round(limit)), 1), g.slots)
}

// window returns the number of the window at a time.
func (g *gradient) window(now time.Time) uint32 {
	if now.Sub(g.windowStart) >= gradientWindow {
		g.evaluate(now)
		g.windowStart, g.windows = now, g.windows+1
		g.runs, g.runsAtLimit = 0, 0
		g.sumX, g.sumY, g.sumXX, g.sumXY = 0, 0, 0, 0
	}
	return g.windows
}

// add records a run during which a number of requests ran and which took a multiple of
// the time that is usual for its class.
func (g *gradient) add(running float64, ratio float64, now time.Time) {
	x, y := running/float64(g.slots), math.Log(min(max(ratio, 1/maxUsualRatio), maxUsualRatio))
	g.runs++
	if running > float64(g.concurrency(now)-1) {
		g.runsAtLimit++
	}
	g.sumX += x
	g.sumY += y
	g.sumXX += x * x
	g.sumXY += x * y
}

// evaluate moves the limit by what the window showed.
func (g *gradient) evaluate(now time.Time) {
	n := float64(g.runs)
	if g.runs >= minWindowRuns {
		g.spread = spreadDecay*g.spread + g.sumXX - g.sumX*g.sumX/n
		g.covariance = spreadDecay*g.covariance + g.sumXY - g.sumX*g.sumY/n
	}
	full := float64(g.runsAtLimit) > fullShare*n
	if g.fullWindows++; !full {
		g.fullWindows = 0
	}
	switch {
	case g.runs < minWindowRuns:
		g.raise(limitRecovery)
	case g.spread >= minSpread:
		slope := g.covariance / g.spread
		growth := 1 - slope*g.limit/float64(g.slots)
		g.growth += g.spread / (g.spread + spreadOfGrowth) * (growth - g.growth)
		g.known, g.spread, g.covariance = true, 0, 0
		g.move(slope, now)
	case g.runsAtLimit == 0:
		g.raise(limitRecovery)
	case full && g.suspects() && now.After(g.nextTrial):
		g.trialUntil, g.nextTrial = now.Add(trialTime), now.Add(g.trialInterval)
		g.trialInterval = min(2*g.trialInterval, maxTrialInterval)
	}
}

// suspects reports whether a server that is full may do better with fewer requests.
func (g *gradient) suspects() bool {
	if !g.known {
		return g.fullWindows >= firstTrialWindows
	}
	return g.growth < trialGrowth
}

// move moves the limit towards the concurrency at which the growth is 0, given the slope
// of the last window.
func (g *gradient) move(slope float64, now time.Time) {
	switch {
	case g.growth < -growthMargin:
		best := float64(g.slots) / max(slope, 1)
		best = min(max(best, (1-maxDecrease)*g.limit), (1-minDecrease)*g.limit)
		g.limit = max(best, minLimitShare*float64(g.slots))
		g.trialInterval, g.nextTrial = minTrialInterval, now
	case g.growth > growthMargin:
		g.raise(limitIncrease)
	}
}

func (g *gradient) raise(share float64) {
	g.limit = min(g.limit+share*float64(g.slots), float64(g.slots))
}
