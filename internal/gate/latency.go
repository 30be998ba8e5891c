package gate

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxClasses bounds the request classes with a latency baseline.
	maxClasses = 64
	// baselineSamples is the number of answers before a baseline is used. The first
	// seedSamples of them are sorted to seed its quantiles.
	baselineSamples = 50
	seedSamples     = 20
	// minStep is the least step of a baseline, as a share of the latency. The step starts
	// at initialStep divided by the number of answers and falls to minStep.
	minStep     = 0.01
	initialStep = 4.0
	// highQuantile is the quantile that bounds normal latency.
	highQuantile = 0.9
	// medianFactor and highFactor define a slow answer: its latency exceeds both that
	// multiple of the median and that multiple of the high quantile.
	medianFactor = 3.0
	highFactor   = 2.0
	// minSlowdown is the least excess over the median that counts as slow.
	minSlowdown = 2 * time.Millisecond
	// overdueFactor is the multiple of the slow threshold after which a running request
	// is overdue.
	overdueFactor = 2
	// voteWindow is the number of latest answers that vote on slowness. alarmVotes is the
	// number of slow answers among them that raises the alarm.
	voteWindow = 9
	alarmVotes = 5
	// meanWeight is the weight of a new answer in the mean service time.
	meanWeight = 0.1
)

// baseline tracks the median and a high quantile of one class's latency, in the logarithm
// of seconds. Each answer moves an estimate by a bounded step, so outliers have a bounded
// effect (frugal streaming: Ma, Muthukrishnan and Sandler 2013).
type baseline struct {
	samples int
	seed    []float64
	median  float64
	high    float64
	// typical is the median latency and slowThreshold the latency above which an answer
	// is slow. Both are 0 until the baseline has baselineSamples answers.
	typical       time.Duration
	slowThreshold time.Duration
}

func (b *baseline) add(latency time.Duration) {
	value := math.Log(max(latency, time.Microsecond).Seconds())
	b.samples++
	if b.samples <= seedSamples {
		b.addSeed(value)
		return
	}
	step := max(minStep, initialStep/float64(b.samples))
	b.median += step * quantileStep(value, b.median, 0.5) * 2
	b.high += step * quantileStep(value, b.high, highQuantile)
	b.high = max(b.high, b.median)
	if b.samples >= baselineSamples {
		b.typical = seconds(math.Exp(b.median))
		b.slowThreshold = max(medianFactor*b.typical, seconds(highFactor*math.Exp(b.high)), b.typical+minSlowdown)
	}
}

// addSeed collects the first answers and seeds the quantiles from them.
func (b *baseline) addSeed(value float64) {
	b.seed = append(b.seed, value)
	if len(b.seed) < seedSamples {
		return
	}
	slices.Sort(b.seed)
	b.median = b.seed[seedSamples/2]
	b.high = b.seed[int(seedSamples*highQuantile)-1]
	b.seed = nil
}

// quantileStep returns the signed relative step of a quantile's estimate.
func quantileStep(value, estimate, quantile float64) float64 {
	switch {
	case value > estimate:
		return quantile
	case value < estimate:
		return quantile - 1
	default:
		return 0
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// latencyMonitor watches the latency of answers and detects that the server as a whole
// became slow. Each answer is compared with the baseline of its own class, and the
// comparisons vote, so that a change in the mix of classes raises no alarm.
type latencyMonitor struct {
	classes *simplelru.LRU[string, *baseline]
	votes   uint16
}

func newLatencyMonitor() *latencyMonitor {
	classes, err := simplelru.NewLRU[string, *baseline](maxClasses, nil)
	if err != nil {
		panic(err) // only if maxClasses is not positive
	}
	return &latencyMonitor{classes: classes}
}

// typical returns the median latency of a class, or 0 while unknown.
func (l *latencyMonitor) typical(class string) time.Duration {
	if b, ok := l.classes.Get(class); ok {
		return b.typical
	}
	return 0
}

// slowThreshold returns the latency above which an answer of a class is slow, or 0 while
// unknown.
func (l *latencyMonitor) slowThreshold(class string) time.Duration {
	if b, ok := l.classes.Get(class); ok {
		return b.slowThreshold
	}
	return 0
}

// observe records the latency of one answer and reports whether it was slow.
func (l *latencyMonitor) observe(class string, latency time.Duration) bool {
	b, ok := l.classes.Get(class)
	if !ok {
		b = &baseline{}
		l.classes.Add(class, b)
	}
	slow := false
	if b.slowThreshold > 0 {
		slow = latency > b.slowThreshold
		l.vote(slow)
	}
	b.add(latency)
	return slow
}

func (l *latencyMonitor) vote(slow bool) {
	l.votes <<= 1
	if slow {
		l.votes |= 1
	}
	l.votes &= 1<<voteWindow - 1
}

// alarm reports whether most of the latest answers were slow.
func (l *latencyMonitor) alarm() bool {
	return bits.OnesCount16(l.votes) >= alarmVotes
}

// clearVotes discards the votes after an alarm or a crash.
func (l *latencyMonitor) clearVotes() {
	l.votes = 0
}

// meanTime is the moving mean of how long requests hold a slot.
type meanTime struct {
	seconds float64
}

func (m *meanTime) add(d time.Duration) {
	if m.seconds == 0 {
		m.seconds = d.Seconds()
	}
	m.seconds += meanWeight * (d.Seconds() - m.seconds)
}

// get returns the mean, or 0 while unknown.
func (m *meanTime) get() time.Duration {
	return seconds(m.seconds)
}
