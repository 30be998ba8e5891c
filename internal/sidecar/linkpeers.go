package sidecar

import (
	"context"

	"github.com/rotisserie/eris"

	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/wire"
)

// errGateRestarted reports that the gate's process is not the one that the request was
// sent to. The new process can't know what the old one handed over.
var errGateRestarted = eris.New("the gate's process was restarted or is unknown")

// Peers sends requests to the other nodes.
type Peers interface {
	// Do runs a request at the gate of another node.
	Do(ctx context.Context, address string, r *contract.Request) (*contract.Answer, error)
	// BootMillis returns the boot time of the process at the other end of the current link to
	// a node; 0 if unknown.
	BootMillis(address string) int64
	// DropLink closes the link to a node, since it lost a request.
	DropLink(address string)
	// Fence asks a gate over another link never to hand a request over. It reports
	// whether the request was already handed over. It fails if the gate's process does
	// not have the given boot time.
	Fence(ctx context.Context, address, id string, bootMillis int64) (handedOver bool, err error)
}

// requestLinks are the links that carry requests.
type requestLinks interface {
	BootMillis(address string) int64
	Drop(address string)
}

// fenceClient sends a fence request (wire.Bar) over a separate link.
type fenceClient interface {
	Fence(ctx context.Context, address string, m *wire.Bar) (*wire.BarAnswer, error)
}

// linkPeers implements Peers over links.
type linkPeers struct {
	*exchange.Client
	links   requestLinks
	control fenceClient
}

// BootMillis returns the boot time of the process at the other end of the current link to a
// node.
func (p linkPeers) BootMillis(address string) int64 {
	return p.links.BootMillis(address)
}

// DropLink closes the link for requests to a node.
func (p linkPeers) DropLink(address string) {
	p.links.Drop(address)
}

// Fence asks over the control link.
func (p linkPeers) Fence(ctx context.Context, address, id string, bootMillis int64) (bool, error) {
	answer, err := p.control.Fence(ctx, address, &wire.Bar{Id: id})
	if err != nil {
		return true, err
	}
	if bootMillis == 0 || answer.GetBootMillis() != bootMillis {
		return true, errGateRestarted
	}
	return answer.GetHandedOver(), nil
}
