package transit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/transit"
)

const sender = 7

func TestDelayIsWhatExceedsTheLeastDelayedMessage(t *testing.T) {
	g := NewWithT(t)
	m := transit.NewMeter()
	g.Expect(m.Delay(sender, time.Hour, 5*time.Second)).To(BeZero(), "nothing is known of the first message")
	g.Expect(m.Delay(sender, time.Hour+time.Second, 13*time.Second)).To(Equal(7 * time.Second))
	g.Expect(m.Delay(sender, time.Hour+2*time.Second, 7*time.Second)).To(BeZero())
	g.Expect(m.Delay(0, time.Hour, time.Minute)).To(BeZero(), "an older node sends no time")
}

// A first message that was late itself hides delay until one that was not late arrives. It
// must never make a message look later than it is.
func TestDelayIsNeverOverestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := transit.NewMeter()
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		sentAt := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			sentAt += time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "delay"))
			if got := m.Delay(sender, sentAt, sentAt+delay+offset); got > delay || got < 0 {
				t.Fatalf("a delay of %v was measured as %v", delay, got)
			}
		}
	})
}

// A drift of the clocks must not add up to a delay over days.
func TestDriftOfClocksIsForgotten(t *testing.T) {
	g := NewWithT(t)
	m := transit.NewMeter()
	for sentAt := time.Duration(0); sentAt < 48*time.Hour; sentAt += 10 * time.Second {
		drift := time.Duration(float64(sentAt) * 20e-6)
		g.Expect(m.Delay(sender, sentAt, sentAt+drift)).To(BeNumerically("<", 10*time.Millisecond))
	}
}
