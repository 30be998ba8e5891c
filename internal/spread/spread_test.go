package spread

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spread")
}

// ginkgoFailer lets a world fail the present spec.
type ginkgoFailer struct{}

func (ginkgoFailer) Fatalf(format string, args ...any) {
	GinkgoHelper()
	Fail(fmt.Sprintf(format, args...))
}

var _ = Describe("Spread of a version", func() {
	It("reaches 200 nodes within 2 s of the source's change", func() {
		w := newWorld(ginkgoFailer{}, 1, 200, 4)
		w.startAll()
		w.settle(20 * time.Second)
		for revision := uint64(11); revision < 21; revision++ {
			w.publishConfig(revision, testDocument{})
			Expect(w.settle(10 * time.Second)).To(BeNumerically("<=", 2*time.Second))
			w.run(3 * time.Second)
		}
	})
})
