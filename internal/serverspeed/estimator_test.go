package serverspeed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// runs records runs of a class at intervals and returns the time after the last one.
func runs(e *Estimator, n int, class string, took, every time.Duration, now time.Time) time.Time {
	for range n {
		now = now.Add(every)
		e.RecordRun(Run{Class: class, Took: took, Concurrency: 5}, now)
	}
	return now
}

// Guards against a change of the mix that is taken for a slow server: with a plain mean,
// long requests made a server look slow for seconds.
func TestMixOfClassesIsNoChangeOfSpeed(t *testing.T) {
	g := NewWithT(t)
	e := NewEstimator(14)
	now := runs(e, 100, "short", 40*time.Millisecond, 10*time.Millisecond, start)
	now = runs(e, 100, "long", 400*time.Millisecond, 10*time.Millisecond, now)
	now = runs(e, 100, "short", 40*time.Millisecond, 10*time.Millisecond, now)
	runs(e, 30, "long", 400*time.Millisecond, 10*time.Millisecond, now)
	g.Expect(e.Slowdown(now)).To(Equal(1.0))
	g.Expect(e.ExpectedTime("short", now)).To(BeNumerically("~", 40*time.Millisecond, time.Millisecond))
	g.Expect(e.ExpectedTime("new", now)).To(Equal(e.MeanTime(now)))
}

// Guards against a server of unstated slowdown that is noticed too late, and against one
// that keeps its mark for long when it gets no more requests.
func TestLearnedSlowdownFollowsAChangeWithinHalfASecond(t *testing.T) {
	g := NewWithT(t)
	e := NewEstimator(14)
	now := runs(e, 200, "read", 100*time.Millisecond, 20*time.Millisecond, start)
	now = runs(e, 25, "read", 250*time.Millisecond, 20*time.Millisecond, now)
	g.Expect(e.Slowdown(now)).To(BeNumerically(">", 1.5))
	g.Expect(e.ExpectedTime("read", now)).To(BeNumerically("~", 250*time.Millisecond, 50*time.Millisecond))
	g.Expect(e.Slowdown(now.Add(2 * time.Second))).To(Equal(1.0))
}

// A run that waits for its calls leaves the server idle: its time shows no slow server.
func TestTimeOfCallsIsNoWork(t *testing.T) {
	g := NewWithT(t)
	e := NewEstimator(14)
	now := runs(e, 100, "read", 100*time.Millisecond, 10*time.Millisecond, start)
	for range 30 {
		e.RecordRun(Run{Class: "read", Took: 400 * time.Millisecond, CallWait: 300 * time.Millisecond, Concurrency: 5}, now)
	}
	g.Expect(e.Slowdown(now)).To(Equal(1.0))
	g.Expect(e.ExpectedTime("read", now)).To(BeNumerically(">", 200*time.Millisecond), "the slot is taken meanwhile")
}

// Failures of what a server states: values that can't be, a value that is no longer
// stated, and another process at the same address.
func TestInvalidStaleAndReplacedStatements(t *testing.T) {
	g := NewWithT(t)
	e := NewEstimator(14)
	now := runs(e, 100, "read", 100*time.Millisecond, 10*time.Millisecond, start)
	for _, percent := range []int{0, -250, 9, 10_001, 1 << 40} {
		e.RecordStated(percent, now)
		g.Expect(e.Stated(now)).To(BeZero())
	}
	e.RecordStated(250, now)
	g.Expect(e.Slowdown(now)).To(Equal(2.5))
	g.Expect(e.ExpectedTime("read", now)).To(BeNumerically("~", 250*time.Millisecond, time.Millisecond))
	g.Expect(e.Slowdown(now.Add(time.Second))).To(BeNumerically("<", 1.1))
	g.Expect(e.Stated(now.Add(statedTTL))).To(BeZero())
	e.Reset()
	g.Expect(e.Slowdown(now)).To(Equal(1.0))
	g.Expect(e.ExpectedTime("read", now)).To(BeZero())
}

// Runs in stated slow periods must not raise the usual time: it would count twice.
func TestRunsInSlowPeriodsKeepTheUsualTime(t *testing.T) {
	g := NewWithT(t)
	e := NewEstimator(14)
	now := runs(e, 100, "read", 100*time.Millisecond, 10*time.Millisecond, start)
	for range 100 {
		e.RecordStated(250, now)
		began := e.Progress(now)
		now = now.Add(100 * time.Millisecond)
		e.RecordStated(250, now)
		now = now.Add(150 * time.Millisecond)
		took := 250 * time.Millisecond
		e.RecordRun(Run{Class: "read", Took: took, Concurrency: 5, Slowdown: took.Seconds() / (e.Progress(now) - began)}, now)
	}
	g.Expect(e.UsualTime("read")).To(BeNumerically("~", 100*time.Millisecond, 5*time.Millisecond))
}

// slowerBeyond returns a server's slowdown that begins at a share of its slots and reaches
// full with all of them.
func slowerBeyond(share, full float64) func(int) float64 {
	return func(running int) float64 {
		return 1 + (full-1)*max(float64(running)/14-share, 0)/(1-share)
	}
}

// A server whose run times do not depend on the concurrency must not lose throughput; only
// one that is full from its start loses a third of a second, once. One that takes 2.5 times
// as long with all slots as with half of them must run fewer and gain by that.
func TestConcurrencyIsLimitedOnlyWhereItPays(t *testing.T) {
	g := NewWithT(t)
	simulated := func(rate, full float64, seed uint64, limited bool) (completed, concurrency int) {
		s := &simulatedServer{work: 160 * time.Millisecond, rate: rate, slower: slowerBeyond(0.5, full), random: rand.New(rand.NewPCG(seed, 1))}
		e := NewEstimator(14)
		permitted := e.Permitted
		if !limited {
			permitted = func(time.Time) int { return 14 }
		}
		return s.simulate(e, time.Minute, permitted), e.Concurrency()
	}
	for _, rate := range []float64{25, 55, 80, 120} {
		completed := map[float64]map[bool]int{1: {}, 2.5: {}}
		for seed := range uint64(10) {
			for full, counts := range completed {
				for _, limited := range []bool{false, true} {
					n, concurrency := simulated(rate, full, seed, limited)
					counts[limited] += n
					if limited && full == 1 {
						g.Expect(concurrency).To(Equal(14), "rate %v seed %d", rate, seed)
					}
				}
			}
		}
		t.Logf("rate %v: runs by slowdown when full and whether limited: %v", rate, completed)
		g.Expect(float64(completed[1][true])).To(BeNumerically(">=", 0.99*float64(completed[1][false])))
		if rate > 40 { // half of the slots serve 42 a second
			g.Expect(float64(completed[2.5][true])).To(BeNumerically(">", 1.05*float64(completed[2.5][false])))
		}
	}
}

// Whatever is recorded, the estimates stay finite and the concurrency within its bounds.
func TestEstimatesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		e, now := NewEstimator(slots), start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				e.RecordStated(rapid.Int().Draw(t, "percent"), now)
			case 1:
				e.RecordTime("a", time.Duration(rapid.IntRange(0, 5000).Draw(t, "lower bound"))*time.Millisecond)
			case 2:
				e.Relearn()
			default:
				e.RecordRun(Run{
					Class:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
					Took:        time.Duration(rapid.IntRange(0, 5000).Draw(t, "took")) * time.Millisecond,
					CallWait:    time.Duration(rapid.IntRange(0, 6000).Draw(t, "calls")) * time.Millisecond,
					Concurrency: float64(rapid.IntRange(1, slots).Draw(t, "concurrency")),
					Slowdown:    rapid.Float64Range(0, 20).Draw(t, "slowdown"),
				}, now)
			}
			if p, c := e.Permitted(now), e.Concurrency(); p < 1 || p > slots || c < 1 || c > slots {
				t.Fatalf("%d permitted, concurrency %d, %d slots", p, c, slots)
			}
			if at := e.ExpectedTime("a", now); at < 0 || at > time.Hour || !(e.Slowdown(now) > 0) {
				t.Fatalf("expected time %v, slowdown %v", at, e.Slowdown(now))
			}
		}
	})
}
