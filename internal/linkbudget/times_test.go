package linkbudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAnswerTimesCoverTheirSpread(t *testing.T) {
	g := NewWithT(t)
	times := NewTimes()
	_, known := times.Estimate("upload")
	g.Expect(known).To(BeFalse())
	for i := range 100 {
		times.Observe("upload", 700*time.Millisecond+time.Duration(i%3)*100*time.Millisecond)
	}
	estimate, known := times.Estimate("upload")
	g.Expect(known).To(BeTrue())
	g.Expect(estimate).To(BeNumerically(">=", 900*time.Millisecond))
	g.Expect(estimate).To(BeNumerically("<", 1400*time.Millisecond))
}
