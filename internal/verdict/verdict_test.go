package verdict_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"boragefall/internal/verdict"
)

func TestVerdict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "verdict")
}

var _ = Describe("Verdict", func() {
	DescribeTable("permits a retry only after NotRun or for an idempotent request",
		func(v verdict.Verdict, idempotent, want bool) {
			Expect(v.PermitsRetry(idempotent)).To(Equal(want))
		},
		Entry("not run, not idempotent", verdict.NotRun, false, true),
		Entry("may have run, not idempotent", verdict.MayHaveRun, false, false),
		Entry("may have run, idempotent", verdict.MayHaveRun, true, true),
		Entry("ran, idempotent", verdict.Ran, true, false),
	)

	It("is preserved by its header value", func() {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			Expect(verdict.Parse(v.String())).To(Equal(v))
		}
		Expect(verdict.Parse("nonsense")).To(Equal(verdict.MayHaveRun))
	})

	It("is MayHaveRun for an error of another type", func() {
		Expect(verdict.FromError(errors.New("broken")).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("is taken from an Error that is wrapped in another error", func() {
		wrapped := eris.Wrap(verdict.Refuse(verdict.ReasonCold, 0), "gate")
		Expect(verdict.FromError(wrapped).Verdict).To(Equal(verdict.NotRun))
	})
})
