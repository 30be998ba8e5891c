package linkbudget

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func TestAnswerSizeIsEstimatedPerRoute(t *testing.T) {
	g := NewWithT(t)
	a := NewSizes()
	g.Expect(a.Estimate("archive")).To(BeEquivalentTo(defaultAnswerBytes))
	a.Observe("archive", 90_000)
	g.Expect(a.Estimate("archive")).To(BeEquivalentTo(90_000))
	for range 100 {
		a.Observe("archive", 30_000)
	}
	g.Expect(a.Estimate("archive")).To(BeNumerically("~", 30_000, 100))
	g.Expect(a.Estimate("lookup")).To(BeEquivalentTo(defaultAnswerBytes))
}

func TestTrackedAnswerSizesAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := NewSizes()
	for i := range 10 * maxTrackedRoutes {
		a.Observe(fmt.Sprint(i), 1)
	}
	g.Expect(a.meanBytes.Len()).To(Equal(maxTrackedRoutes))
}
