// Package serverspeed estimates how fast one backend server works at the moment and how
// many requests it runs well at once. It runs beside the server, in its gate.
//
// The time of a run is explained by the usual work of its class on this server, which
// changes slowly, and the slowdown of the machine, which the server states or which recent
// runs show relative to the usual work. A change of the mix of classes is therefore no
// change of speed. How run times depend on the number of running requests is measured
// within short windows, in which neither changes much.
//
// The package has no clock: every function takes the time. Nothing in it is safe for
// concurrent use.
package serverspeed

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// UsualPercent is the slowdown of a server that works at its usual speed.
	UsualPercent = 100
	// maxClasses bounds the classes whose times are remembered, since routes change over
	// time.
	maxClasses = 512
	// usualWeight is the weight of a sample in the usual time of its class. Service times
	// vary by about a third; with this weight the usual time varies by a few percent. Until
	// it has followed a change that lasts, the learned slowdown explains the difference.
	usualWeight = 0.02
	// usualMemory is the time in which the usual time of a class with few runs follows a
	// change; maxUsualWeight bounds the weight of one of those runs.
	usualMemory, maxUsualWeight = 10 * time.Second, 0.2
	// maxUsualRatio bounds a sample to a multiple of the usual time.
	maxUsualRatio = 4
	// mixWeight is the weight of a run in the mean over the mix of classes. It is lower
	// than usualWeight, so that a short change of the mix hardly changes the mean.
	mixWeight = 0.01
	// learnedWeight is the weight of a run in the learned slowdown: at 50 runs a second a
	// change is followed within a quarter of a second after the first slow run has ended.
	learnedWeight = 0.125
	// minClassSamples is the number of runs after which a class has a usual time against
	// which the speed is measured.
	minClassSamples = 4
	// maxSampleRatio bounds the effect of one run that takes much longer than usual on the
	// learned slowdown: one such run alone stays within learnedTolerance.
	maxSampleRatio = 2.5
	// learnedTolerance is the deviation of the learned slowdown from 1 that random
	// variation explains.
	learnedTolerance = 0.2
	// learnedHold and learnedDecay are the time for which a learned slowdown holds without
	// a further run, and the time constant with which it is forgotten after that.
	learnedHold, learnedDecay = 300 * time.Millisecond, 500 * time.Millisecond
	// slowFactor is the slowdown from which a server counts as slow.
	slowFactor = 1.25
	// minSlowPeriod is the expected rest of a slow period that has just begun. Such
	// periods last 0.6 s at the deployments that have them; a period that has lasted
	// longer is expected to last as long again.
	minSlowPeriod = 300 * time.Millisecond
)

// Run is a run that the server completed without failure.
type Run struct {
	// Class groups requests with similar work.
	Class string
	// Took is the time from the start of the run until its answer, and CallWait the part
	// of it in which calls of the run were in progress.
	Took, CallWait time.Duration
	// Concurrency is the mean of the requests that the server ran at its start and at its
	// end, with this one. A mean over the whole time would depend on how long it took.
	Concurrency float64
	// Slowdown is the mean stated slowdown in that time, as a factor; 0 means none.
	Slowdown float64
}

// Estimator estimates the speed and the concurrency of one server.
type Estimator struct {
	slots   int
	classes *simplelru.LRU[string, *classTimes]
	mix     classTimes
	stated  statedSpeed
	learned learnedSpeed
	// gradient finds the concurrency that the server handles well.
	gradient gradient
	// slowSince is the time since which the server is slow; zero while it isn't.
	slowSince time.Time
}

// classTimes holds the mean times of a class in seconds.
type classTimes struct {
	// work is the time of a run at usual speed without its calls, calls the time in which
	// its calls were in progress.
	work, calls float64
	// at is the time of the latest run.
	at time.Time
	// reference is work at the begin of the given window of the gradient.
	reference float64
	window    uint32
	// samples is the number of runs since the start or the last Relearn.
	samples int
}

// add adds a sample with at least the given weight. The first samples have equal weights.
func (c *classTimes) add(work, calls, weight float64) {
	c.samples++
	weight = max(weight, 1/float64(c.samples))
	c.work += weight * (work - c.work)
	c.calls += weight * (calls - c.calls)
}

// learnedSpeed is the slowdown that recent runs show.
type learnedSpeed struct {
	factor float64
	at     time.Time
}

// valueAt returns the mean of recent samples, which fades to 1 when there are no more.
func (l *learnedSpeed) valueAt(now time.Time) float64 {
	if l.at.IsZero() {
		return 1
	}
	return 1 + (l.factor-1)*fade(now.Sub(l.at), learnedHold, learnedDecay)
}

func (l *learnedSpeed) add(ratio float64, now time.Time) {
	value := l.valueAt(now)
	l.factor, l.at = value+learnedWeight*(min(ratio, maxSampleRatio)-value), now
}

// NewEstimator returns an estimator of a server of which nothing is known.
func NewEstimator(slots int) *Estimator {
	classes, err := simplelru.NewLRU[string, *classTimes](maxClasses, nil)
	if err != nil {
		panic(err) // only if maxClasses is not positive
	}
	slots = max(slots, 1)
	return &Estimator{slots: slots, classes: classes, gradient: newGradient(slots)}
}

// SetSlots sets the number of requests that the server runs at most.
func (e *Estimator) SetSlots(slots int) {
	if slots > 0 && slots != e.slots {
		e.slots = slots
		e.gradient = newGradient(e.slots)
	}
}

// Reset forgets everything, because another server process is in place.
func (e *Estimator) Reset() {
	*e = *NewEstimator(e.slots)
}

// Relearn lets the next runs replace the times known so far, because they were measured
// while the server was cold.
func (e *Estimator) Relearn() {
	for _, times := range e.classes.Values() {
		times.samples = min(times.samples, 1)
	}
	e.mix.samples = min(e.mix.samples, 1)
	e.learned, e.gradient = learnedSpeed{}, newGradient(e.slots)
}

// RecordStated records the slowdown that the server stated, in percent. A value outside
// of the plausible range is ignored.
func (e *Estimator) RecordStated(percent int, now time.Time) {
	if percent < minStatedPercent || percent > maxStatedPercent {
		return
	}
	e.stated.record(float64(percent)/UsualPercent, now)
	e.trackSlowPeriod(now)
}

// Progress returns the work that a server with the stated speed has done since an
// arbitrary time, in seconds at usual speed.
func (e *Estimator) Progress(now time.Time) float64 {
	e.stated.advance(now)
	return e.stated.progress
}

// RecordRun records a completed run.
func (e *Estimator) RecordRun(r Run, now time.Time) {
	calls := min(r.CallWait, r.Took)
	work := (r.Took - calls).Seconds()
	if r.Slowdown > 0 {
		work /= max(r.Slowdown, float64(minStatedPercent)/UsualPercent)
	}
	times := e.class(r.Class)
	if times.samples >= minClassSamples && times.work > 0 {
		e.learned.add(work/times.work, now)
		if window := e.gradient.window(now); times.window != window || times.reference <= 0 {
			times.window, times.reference = window, times.work
		}
		e.gradient.add(r.Concurrency, work/times.reference, now)
		work = min(work, maxUsualRatio*times.work)
	}
	elapsed := min(now.Sub(times.at).Seconds()/usualMemory.Seconds(), maxUsualWeight)
	times.add(work, calls.Seconds(), max(elapsed, usualWeight))
	times.at = now
	e.mix.add(times.work, times.calls, mixWeight)
	e.trackSlowPeriod(now)
}

// RecordTime records only how long a run took, for a run that was not completed: its time
// is a lower bound.
func (e *Estimator) RecordTime(class string, took time.Duration) {
	times := e.class(class)
	times.add(took.Seconds(), times.calls, usualWeight)
	e.mix.add(times.work, times.calls, mixWeight)
}

func (e *Estimator) class(name string) *classTimes {
	times, ok := e.classes.Get(name)
	if !ok {
		times = &classTimes{}
		e.classes.Add(name, times)
	}
	return times
}

// Slowdown returns how long work takes now as a multiple of the usual time. A recent
// statement of the server goes before what runs show, which is known only when they end.
func (e *Estimator) Slowdown(now time.Time) float64 {
	if e.stated.current(now) {
		return e.stated.valueAt(now)
	}
	if learned := e.learned.valueAt(now); math.Abs(learned-1) > learnedTolerance {
		return learned
	}
	return 1
}

// Speed returns the server's present speed; 1 is its usual speed.
func (e *Estimator) Speed(now time.Time) float64 {
	return 1 / e.Slowdown(now)
}

// Stated returns the slowdown in percent that the server stated, or 0 if it states none.
func (e *Estimator) Stated(now time.Time) int {
	if !e.stated.current(now) {
		return 0
	}
	return int(math.Round(e.stated.valueAt(now) * UsualPercent))
}

// Concurrency returns the number of requests that the server runs well at once, at most
// its slots.
func (e *Estimator) Concurrency() int {
	return e.gradient.rounded(e.gradient.limit)
}

// Permitted returns the number of requests that may run now. For a short time it is another
// one than Concurrency, to see whether the server does better with that.
func (e *Estimator) Permitted(now time.Time) int {
	return e.gradient.concurrency(now)
}

// ExpectedTime returns the time that a run of a class takes if it starts now; 0 if
// no time is known. A class without runs is expected to take the mean time.
func (e *Estimator) ExpectedTime(class string, now time.Time) time.Duration {
	if times, ok := e.classes.Get(class); ok && times.samples > 0 {
		return e.expected(times, now)
	}
	return e.expected(&e.mix, now)
}

// MeanTime returns the expected time of a run that starts now, over the mix of classes.
func (e *Estimator) MeanTime(now time.Time) time.Duration {
	return e.expected(&e.mix, now)
}

// UsualTime returns the mean time of a run at the server's usual speed.
func (e *Estimator) UsualTime(class string) time.Duration {
	times, ok := e.classes.Get(class)
	if !ok {
		times = &e.mix
	}
	return seconds(times.work + times.calls)
}

// MeanUsualTime returns the mean time of a run over the mix of classes at the server's usual
// speed.
func (e *Estimator) MeanUsualTime() time.Duration {
	return seconds(e.mix.work + e.mix.calls)
}

func (e *Estimator) expected(times *classTimes, now time.Time) time.Duration {
	return seconds(e.slowed(times.work, now) + times.calls)
}

// slowed returns the time that work takes which starts now and is expected to outlast the
// slow period if it is longer.
func (e *Estimator) slowed(work float64, now time.Time) float64 {
	slowdown := e.Slowdown(now)
	if slowdown <= 1 {
		return work * slowdown
	}
	period := minSlowPeriod
	if !e.slowSince.IsZero() {
		period = max(period, now.Sub(e.slowSince))
	}
	return work + min(work*(slowdown-1), period.Seconds()*(1-1/slowdown))
}

func (e *Estimator) trackSlowPeriod(now time.Time) {
	switch slow := e.Slowdown(now) >= slowFactor; {
	case !slow:
		e.slowSince = time.Time{}
	case e.slowSince.IsZero():
		e.slowSince = now
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// fade returns 1 for a value up to an age of hold, and less and less afterwards.
func fade(age, hold, timeConstant time.Duration) float64 {
	if age <= hold {
		return 1
	}
	return math.Exp(-float64(age-hold) / float64(timeConstant))
}
