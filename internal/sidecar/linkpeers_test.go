package sidecar

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"boragefall/internal/wire"
)

// gateProcess simulates one process of a gate.
type gateProcess struct {
	bootMillis int64
	handedOver bool
	drops      int
}

func (g *gateProcess) BootMillis(string) int64 { return g.bootMillis }
func (g *gateProcess) Drop(string)             { g.drops++ }
func (g *gateProcess) Fence(context.Context, string, *wire.Bar) (*wire.BarAnswer, error) {
	return &wire.BarAnswer{HandedOver: g.handedOver, BootMillis: g.bootMillis}, nil
}

// Guards against trusting a restarted gate: a node is killed after it handed a request
// to its server, and its next process answers the fence request. That process never
// handed the request over, which proves nothing.
func TestFenceFailsAfterTheGateRestarted(t *testing.T) {
	g := NewWithT(t)
	first := &gateProcess{bootMillis: 1000, handedOver: true}
	second := &gateProcess{bootMillis: 2000}
	handedOver, err := linkPeers{links: first, control: second}.Fence(t.Context(), "10.0.0.2:9000", "9c41", 1000)
	g.Expect(err).To(MatchError(errGateRestarted))
	g.Expect(handedOver).To(BeTrue())
	handedOver, err = linkPeers{links: second, control: second}.Fence(t.Context(), "10.0.0.2:9000", "9c41", 2000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(handedOver).To(BeFalse())
	g.Expect(second.drops).To(BeZero(), "asking closes no link")
	linkPeers{links: second, control: second}.DropLink("10.0.0.2:9000")
	g.Expect(second.drops).To(Equal(1))
}

func TestFenceFailsWhenTheBootTimeIsUnknown(t *testing.T) {
	g := NewWithT(t)
	p := &gateProcess{}
	_, err := linkPeers{links: p, control: p}.Fence(t.Context(), "10.0.0.2:9000", "9c41", 0)
	g.Expect(err).To(MatchError(errGateRestarted))
}
