package serverspeed

import (
	"math"
	"time"
)

const (
	// levels is the number of levels of concurrency, equal shares of the slots, for which
	// the service time is known. The throughput of neighbouring high levels differs by a
	// seventh and more, which is above the random error of their service times.
	levels = 8
	// curveQuantile is the quantile of the service times of a level that is compared. A
	// low one is hardly changed by periods in which the server is slow for other reasons,
	// which also make more requests run at once.
	curveQuantile = 0.2
	// curveStep is the relative step with which the quantile follows the runs.
	curveStep = 0.02
	// minLevelSamples is the number of runs from which a level's service time is evidence.
	minLevelSamples = 40
	// minGain is the throughput of a lower level, relative to that of the highest one,
	// from which the lower one is preferred.
	minGain = 1.08
	// lowestLimit is the lowest level to which the concurrency is limited, a quarter of the
	// slots: if the evidence is wrong, that bounds the loss until it is tried again.
	lowestLimit = 1
	// stepInterval is the least time between two steps of the concurrency.
	stepInterval = 250 * time.Millisecond
	// evidenceTTL is the age of the latest run at a level above the concurrency after
	// which that level is tried again.
	evidenceTTL = 8 * time.Second
)

// curve is the service time of a server as a function of its running requests, relative
// to that at the lowest known level.
type curve struct {
	points [levels]point
	// highest is the index of the highest level that is used.
	highest int
	// checkedAt is when the highest used level was last compared with others.
	checkedAt time.Time
}

// point is the service time at one level.
type point struct {
	// quantile is that of the service time relative to the usual one of its class.
	quantile  float64
	samples   int
	sampledAt time.Time
}

func (p *point) known() bool {
	return p.samples >= minLevelSamples
}

func newCurve() curve {
	return curve{highest: levels - 1}
}

// level returns the level of a number of running requests.
func (c *curve) level(running float64, slots int) int {
	return min(max(int(math.Ceil(running*levels/float64(slots)))-1, 0), levels-1)
}

// add records the relative service time of a run.
func (c *curve) add(level int, ratio float64, now time.Time) {
	p := &c.points[level]
	if p.samples == 0 {
		p.quantile = c.expectedQuantile(level)
	}
	p.samples++
	p.sampledAt = now
	step := curveStep * p.quantile
	if p.samples < minLevelSamples {
		step *= 2
	}
	if ratio > p.quantile {
		p.quantile += step * curveQuantile
	} else {
		p.quantile -= step * (1 - curveQuantile)
	}
}

// typicalQuantile is the quantile of service times that vary by a third around a mean of 1.
const typicalQuantile = 0.75

// expectedQuantile returns the quantile with which a level without runs starts: that of
// the next lower known one.
func (c *curve) expectedQuantile(level int) float64 {
	for i := level - 1; i >= 0; i-- {
		if c.points[i].known() {
			return c.points[i].quantile
		}
	}
	return typicalQuantile
}

// factor returns the service time at a level relative to the lowest known one. It is not
// below that of any lower level: more requests do not speed up a server. A level that is
// not known is expected to be like the next lower one.
func (c *curve) factor(level int) float64 {
	lowest, factor := 0.0, 1.0
	for i := range level + 1 {
		p := &c.points[i]
		if !p.known() {
			continue
		}
		if lowest == 0 {
			lowest = p.quantile
		}
		factor = max(factor, p.quantile/lowest)
	}
	return factor
}

func (c *curve) factorAt(running, slots int) float64 {
	return c.factor(c.level(float64(running), slots))
}

// concurrency returns the number of requests at which the server's throughput is highest.
func (c *curve) concurrency(slots int, now time.Time) int {
	c.step(now)
	return (slots*(c.highest+1) + levels - 1) / levels
}

// step moves the highest used level by at most one towards the best one. It moves up only
// once the present level is known, so that not all higher ones are tried at once.
func (c *curve) step(now time.Time) {
	if now.Sub(c.checkedAt) < stepInterval {
		return
	}
	c.checkedAt = now
	if above := c.highest + 1; above < levels && now.Sub(c.points[above].sampledAt) > evidenceTTL {
		c.points[above] = point{}
	}
	switch best := c.best(); {
	case best < c.highest:
		c.highest--
	case best > c.highest && c.points[c.highest].known():
		c.highest++
	}
}

// best returns the level with the highest throughput, as far as it is shown: a level
// above it that is not known is taken to be better.
func (c *curve) best() int {
	top := min(c.highest+1, levels-1)
	best := top
	for i := top - 1; i >= lowestLimit; i-- {
		if c.points[i].known() && c.throughput(i) > c.throughput(best)*c.gain(best, top) {
			best = i
		}
	}
	return best
}

// gain returns the relative throughput from which a lower level replaces a candidate.
func (c *curve) gain(candidate, top int) float64 {
	if candidate == top {
		return minGain
	}
	return 1
}

func (c *curve) throughput(level int) float64 {
	return float64(level+1) / c.factor(level)
}
