package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestColdStartLimitIsOvershootTimesRatePlusSlack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ColdStartLimit{Overshoot: 1.5, Slack: 10}.requestsPerSecond(6)).To(Equal(19.0))
	g.Expect(ColdStartLimit{Overshoot: 1.5, Slack: 10}.requestsPerSecond(0)).To(BeZero(), "no rate is known")
}
