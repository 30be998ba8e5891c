package sidecar

import (
	"context"

	"github.com/rotisserie/eris"

	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/wire"
)

// errGateRestarted reports that another process answers for a gate than the one that
// a request was sent to. It knows nothing of what that one handed over.
var errGateRestarted = eris.New("the gate's process was restarted")

// Peers reaches the other nodes.
type Peers interface {
	// Do runs a request at the gate of another node.
	Do(ctx context.Context, address string, r *contract.Request) (*contract.Answer, error)
	// Boot names the process behind the present link to a node; 0 is unknown.
	Boot(address string) int64
	// Fence asks a gate on a new link never to hand a request over. It reports
	// whether it had been before, and fails when another process answers than the
	// one that bootMillis names.
	Fence(ctx context.Context, address, id string, bootMillis int64) (handedOver bool, err error)
}

// requestLinks are the links that requests go over.
type requestLinks interface {
	Boot(address string) int64
	Drop(address string)
}

// barClient asks on a link of its own.
type barClient interface {
	Bar(ctx context.Context, address string, m *wire.Bar) (*wire.BarAnswer, error)
}

// linkPeers is Peers over links.
type linkPeers struct {
	*exchange.Client
	links   requestLinks
	control barClient
}

// Boot names the process behind the present link to a node.
func (p linkPeers) Boot(address string) int64 {
	return p.links.Boot(address)
}

// Fence drops the link for requests, since it lost one, and asks on another.
func (p linkPeers) Fence(ctx context.Context, address, id string, bootMillis int64) (bool, error) {
	p.links.Drop(address)
	answer, err := p.control.Bar(ctx, address, &wire.Bar{Id: id})
	if err != nil {
		return true, err
	}
	if bootMillis == 0 || answer.GetBootMillis() != bootMillis {
		return true, errGateRestarted
	}
	return answer.GetHandedOver(), nil
}
