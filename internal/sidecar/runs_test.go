package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestParentRunIsFoundByTheIDOfTheCall(t *testing.T) {
	g := NewWithT(t)
	var r activeRuns
	outer, inner := &run{}, &run{}
	r.begin("9c41", outer)
	r.begin("9c41.2", inner)
	g.Expect(r.parent("9c41.1")).To(BeIdenticalTo(outer))
	g.Expect(r.parent("9c41.2.1")).To(BeIdenticalTo(inner))
	g.Expect(r.parent("9c41")).To(BeNil())
	g.Expect(r.parent("7e1a.1")).To(BeNil())
	r.end("9c41")
	g.Expect(r.parent("9c41.1")).To(BeNil())
}
