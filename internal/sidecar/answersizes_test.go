package sidecar

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func TestAnswerSizeIsEstimatedPerRoute(t *testing.T) {
	g := NewWithT(t)
	a := newAnswerSizes()
	g.Expect(a.estimate("archive")).To(BeEquivalentTo(defaultAnswerBytes))
	a.observe("archive", 90_000)
	g.Expect(a.estimate("archive")).To(BeEquivalentTo(90_000))
	for range 100 {
		a.observe("archive", 30_000)
	}
	g.Expect(a.estimate("archive")).To(BeNumerically("~", 30_000, 100))
	g.Expect(a.estimate("lookup")).To(BeEquivalentTo(defaultAnswerBytes))
}

func TestTrackedAnswerSizesAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := newAnswerSizes()
	for i := range 10 * maxTrackedRoutes {
		a.observe(fmt.Sprint(i), 1)
	}
	g.Expect(a.meanBytes.Len()).To(Equal(maxTrackedRoutes))
}
