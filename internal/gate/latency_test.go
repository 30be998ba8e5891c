package gate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestSlowdownRaisesAlarmAndOutlierDoesNot checks that a sudden slowdown raises the alarm
// within one vote window, and that a single outlier of any size does not.
func TestSlowdownRaisesAlarmAndOutlierDoesNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := newLatencyMonitor()
		for range rapid.IntRange(baselineSamples, 500).Draw(t, "answers") {
			ms := rapid.Float64Range(5, 15).Draw(t, "ms")
			l.observe("", time.Duration(ms*float64(time.Millisecond)))
			g.Expect(l.alarm()).To(BeFalse())
		}
		l.observe("", rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(t, "outlier"))
		g.Expect(l.alarm()).To(BeFalse())
		g.Expect(l.typical("")).To(BeNumerically("<", 25*time.Millisecond))
		for range voteWindow {
			l.observe("", 150*time.Millisecond)
		}
		g.Expect(l.alarm()).To(BeTrue())
	})
}

// TestNoFalseAlarmOnHeavyTails runs servers with unchanged, heavy-tailed latency for a
// long time, then slows them down tenfold.
func TestNoFalseAlarmOnHeavyTails(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	tails := map[string]func() float64{
		"exponential":   rng.ExpFloat64,
		"lognormal 0.5": func() float64 { return math.Exp(0.5 * rng.NormFloat64()) },
		"lognormal 1":   func() float64 { return math.Exp(rng.NormFloat64()) },
	}
	const servers, answers, maxDelay = 50, 2000, 40
	for name, tail := range tails {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			alarms, delays := 0, 0
			for range servers {
				l := newLatencyMonitor()
				observe := func(factor float64) bool {
					l.observe("", time.Duration(factor*tail()*float64(testLatency)))
					return l.alarm()
				}
				for range answers {
					if observe(1) {
						alarms++
						l.clearVotes()
					}
				}
				l.clearVotes()
				for delay := 1; delay <= maxDelay && !observe(10); delay++ {
					delays++
				}
			}
			t.Logf("%d false alarms in %d answers, slowdown detected after %.1f answers on average", alarms, servers*answers, 1+float64(delays)/servers)
			g.Expect(alarms).To(BeNumerically("<=", 2))
			g.Expect(delays).To(BeNumerically("<=", 12*servers))
		})
	}
}
