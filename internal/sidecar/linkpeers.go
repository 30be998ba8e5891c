package sidecar

import (
	"context"

	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// Peers reaches the other nodes.
type Peers interface {
	// Do runs a request at the gate of another node.
	Do(ctx context.Context, address string, r *contract.Request) (*contract.Answer, error)
	// Bar asks a gate on a new link never to hand a request over. It reports
	// whether it had been before.
	Bar(ctx context.Context, address, id string) (handedOver bool, err error)
}

// linkPeers is Peers over links.
type linkPeers struct {
	*exchange.Client
	dialer  *link.Dialer
	control interface {
		Bar(ctx context.Context, address string, m *wire.Bar) (*wire.BarAnswer, error)
	}
}

// Bar drops the link for requests, since it lost one, and asks on another.
func (p linkPeers) Bar(ctx context.Context, address, id string) (bool, error) {
	p.dialer.Drop(address)
	answer, err := p.control.Bar(ctx, address, &wire.Bar{Id: id})
	if err != nil {
		return true, err
	}
	return answer.GetHandedOver(), nil
}
