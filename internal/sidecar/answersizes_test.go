package sidecar

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func TestTheSizeOfAnswersIsLearntByRoute(t *testing.T) {
	g := NewWithT(t)
	a := newAnswerSizes()
	g.Expect(a.of("archive")).To(BeEquivalentTo(assumedAnswer))
	a.add("archive", 90_000)
	g.Expect(a.of("archive")).To(BeEquivalentTo(90_000))
	for range 100 {
		a.add("archive", 30_000)
	}
	g.Expect(a.of("archive")).To(BeNumerically("~", 30_000, 100))
	g.Expect(a.of("lookup")).To(BeEquivalentTo(assumedAnswer))
}

func TestRememberedAnswerSizesAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := newAnswerSizes()
	for i := range 10 * rememberedAnswers {
		a.add(fmt.Sprint(i), 1)
	}
	g.Expect(a.bytes.Len()).To(Equal(rememberedAnswers))
}
