package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A sudden slowdown is noticed within one window, and a single outlier of any
// size is none.
func TestSlowdownIsNoticedAndOutliersAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := newLatencies()
		for range rapid.IntRange(baselineSamples, 500).Draw(t, "answers") {
			ms := rapid.Float64Range(5, 15).Draw(t, "ms")
			l.observe("", time.Duration(ms*float64(time.Millisecond)))
			g.Expect(l.alarm()).To(BeFalse())
		}
		l.observe("", rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(t, "outlier"))
		g.Expect(l.alarm()).To(BeFalse())
		g.Expect(l.class("").typical()).To(BeNumerically("<", 25*time.Millisecond))
		for range voteWindow {
			l.observe("", 150*time.Millisecond)
		}
		g.Expect(l.alarm()).To(BeTrue())
	})
}
