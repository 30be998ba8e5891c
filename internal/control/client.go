// Package control carries the messages between nodes other than requests: gossip,
// pulls of configuration files, heartbeats, state queries, fences and crash notices.
// A client opens a stream for each message and receives one answer on it.
package control

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// exchangeTimeout limits one control message and its answer.
const exchangeTimeout = 2 * time.Second

// Client sends control messages to other nodes.
type Client struct {
	dialer *link.Dialer
	// keepsLinks reports that a link stays open after a timeout, since it carries other
	// streams.
	keepsLinks bool
}

// NewClient returns a client over a dialer of the control class.
func NewClient(dialer *link.Dialer) *Client {
	return &Client{dialer: dialer}
}

// NewSharedClient returns a client over a dialer whose links carry requests as well. It
// closes no link.
func NewSharedClient(dialer *link.Dialer) *Client {
	return &Client{dialer: dialer, keepsLinks: true}
}

// Gossip sends a gossip message and returns the one that the peer answers with.
func (c *Client) Gossip(ctx context.Context, address string, m *wire.Gossip) (*wire.Gossip, error) {
	answer := &wire.Gossip{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Gossip{Gossip: m}}, answer)
	return answer, err
}

// Pull requests a manifest or files from a peer.
func (c *Client) Pull(ctx context.Context, address string, m *wire.Pull) (*wire.PullAnswer, error) {
	answer := &wire.PullAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Pull{Pull: m}}, answer)
	return answer, err
}

// Heartbeat sends a heartbeat to a host of the same service and returns its heartbeat.
func (c *Client) Heartbeat(ctx context.Context, address string, m *wire.Heartbeat) (*wire.Heartbeat, error) {
	answer := &wire.Heartbeat{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Heartbeat{Heartbeat: m}}, answer)
	return answer, err
}

// State requests a peer's copy of the platform's store.
func (c *Client) State(ctx context.Context, address string, m *wire.StateQuery) (*wire.StateAnswer, error) {
	answer := &wire.StateAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_StateQuery{StateQuery: m}}, answer)
	return answer, err
}

// Fence requests that a gate never pass a request to its server.
func (c *Client) Fence(ctx context.Context, address string, m *wire.Bar) (*wire.BarAnswer, error) {
	answer := &wire.BarAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_Bar{Bar: m}}, answer)
	return answer, err
}

// NotifyCrash notifies a gate of the requests that were running when a server crashed, and
// returns the notice that the gate answers with.
func (c *Client) NotifyCrash(ctx context.Context, address string, m *wire.CrashNotice) (*wire.CrashNotice, error) {
	answer := &wire.CrashNotice{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_CrashNotice{CrashNotice: m}}, answer)
	return answer, err
}

// Credits asks a node for credits of a workspace's quota.
func (c *Client) Credits(ctx context.Context, address string, m *wire.CreditRequest) (*wire.CreditAnswer, error) {
	answer := &wire.CreditAnswer{}
	err := c.exchange(ctx, address, &wire.Opening{Kind: &wire.Opening_CreditRequest{CreditRequest: m}}, answer)
	return answer, err
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
	if err != nil && !c.keepsLinks && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.dialer.Drop(address)
	}
	return err
}
