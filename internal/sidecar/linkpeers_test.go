package sidecar

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"boragefall/internal/wire"
)

// gateProcess answers as one process of a gate.
type gateProcess struct {
	boot    int64
	handed  bool
	dropped int
}

func (g *gateProcess) Boot(string) int64 { return g.boot }
func (g *gateProcess) Drop(string)       { g.dropped++ }
func (g *gateProcess) Bar(context.Context, string, *wire.Bar) (*wire.BarAnswer, error) {
	return &wire.BarAnswer{HandedOver: g.handed, BootMillis: g.boot}, nil
}

// A node is killed after it handed a request to its server, and its next process
// is asked. It never handed the request over, and that proves nothing.
func TestTheNextProcessOfAGateProvesNothing(t *testing.T) {
	g := NewWithT(t)
	first := &gateProcess{boot: 1000, handed: true}
	second := &gateProcess{boot: 2000}
	handed, err := linkPeers{links: first, control: second}.Bar(t.Context(), "10.0.0.2:9000", "9c41", 1000)
	g.Expect(err).To(MatchError(errRestarted))
	g.Expect(handed).To(BeTrue())
	handed, err = linkPeers{links: second, control: second}.Bar(t.Context(), "10.0.0.2:9000", "9c41", 2000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(handed).To(BeFalse())
	g.Expect(second.dropped).To(Equal(1))
}

func TestAGateWhoseProcessIsUnknownProvesNothing(t *testing.T) {
	g := NewWithT(t)
	p := &gateProcess{}
	_, err := linkPeers{links: p, control: p}.Bar(t.Context(), "10.0.0.2:9000", "9c41", 0)
	g.Expect(err).To(MatchError(errRestarted))
}
