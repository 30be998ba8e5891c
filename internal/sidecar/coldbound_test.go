package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestTheBoundOfAColdServerIsTheOnePermitted(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ColdBound{Overshoot: 1.5, Slack: 10}.of(6)).To(Equal(19.0))
	g.Expect(ColdBound{Overshoot: 1.5, Slack: 10}.of(0)).To(BeZero(), "no rate is known")
}
