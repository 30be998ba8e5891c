// Package control carries the exchanges between nodes that are not requests:
// gossip, pulls of configuration files, heartbeats.
package control

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// exchangeTimeout bounds one control exchange.
const exchangeTimeout = 2 * time.Second

// Client asks other nodes.
type Client struct {
	dialer *link.Dialer
}

// NewClient returns a client over a dialer of the control class.
func NewClient(dialer *link.Dialer) *Client {
	return &Client{dialer: dialer}
}

// Gossip sends a gossip message and returns the peer's.
func (c *Client) Gossip(ctx context.Context, address string, m *wire.Gossip) (*wire.Gossip, error) {
	answer := &wire.Gossip{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Gossip{Gossip: m}}, answer)
	return answer, err
}

// Pull asks a peer for a manifest or files.
func (c *Client) Pull(ctx context.Context, address string, m *wire.Pull) (*wire.PullAnswer, error) {
	answer := &wire.PullAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Pull{Pull: m}}, answer)
	return answer, err
}

// Heartbeat exchanges heartbeats with a host of the same service.
func (c *Client) Heartbeat(ctx context.Context, address string, m *wire.Heartbeat) (*wire.Heartbeat, error) {
	answer := &wire.Heartbeat{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Heartbeat{Heartbeat: m}}, answer)
	return answer, err
}

// State asks a peer for its copy of the platform's store.
func (c *Client) State(ctx context.Context, address string, m *wire.StateQuery) (*wire.StateAnswer, error) {
	answer := &wire.StateAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_StateQuery{StateQuery: m}}, answer)
	return answer, err
}

// Fence asks a gate never to hand a request to its server.
func (c *Client) Fence(ctx context.Context, address string, m *wire.Bar) (*wire.BarAnswer, error) {
	answer := &wire.BarAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Bar{Bar: m}}, answer)
	return answer, err
}

// NotifyCrash tells a gate which requests were running while a server crashed.
func (c *Client) NotifyCrash(ctx context.Context, address string, m *wire.CrashNotice) error {
	return c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_CrashNotice{CrashNotice: m}}, &wire.CrashNotice{})
}

func (c *Client) exchange(ctx context.Context, address string, opening *wire.Opening, answer proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stream, err := c.dialer.Open(ctx, address, opening)
	if err != nil {
		return err
	}
	defer stream.Close()
	err = stream.Flush()
	if err == nil {
		err = stream.Receive(answer)
	}
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.dialer.Drop(address)
	}
	return err
}
