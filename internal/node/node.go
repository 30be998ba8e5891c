// Package node assembles a node: the sidecar process of a backend server.
package node

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/settings"
)

// startTimeout bounds the start of a node. A node starts without waiting for its peers or for
// the platform.
const startTimeout = 10 * time.Second

// stopMargin is the time that a planned stop may take in addition to its drain limit.
const stopMargin = 10 * time.Second

// Options are the dependencies of a node that its settings do not cover.
type Options struct {
	// Logger receives the log entries of the node. Required.
	Logger *log.Logger
	// Stdout receives spans when the trace exporter is stdout. By default they are discarded.
	Stdout io.Writer
	// Listeners override the listening addresses of the settings where they are set.
	Listeners Listeners
}

// Listeners are the listening sockets of a node.
type Listeners struct {
	Link, Callers, Admin net.Listener
}

// Node is one running node.
type Node struct {
	app      *fx.App
	settings settings.Settings
	parts    parts
}

// Start starts a node. If it succeeds, the caller must call Stop or Kill.
func Start(ctx context.Context, s settings.Settings, o Options) (*Node, error) {
	listeners, err := openListeners(s, o.Listeners)
	if err != nil {
		return nil, err
	}
	if o.Stdout == nil {
		o.Stdout = io.Discard
	}
	n := &Node{settings: s}
	n.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.DrainLimit+stopMargin),
		fx.Supply(s, o, listeners),
		module,
		fx.Populate(&n.parts),
	)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.app.Start(ctx); err != nil {
		listeners.close()
		return nil, eris.Wrap(err, "start node")
	}
	return n, nil
}

// Stop performs a planned stop: requests in flight may finish within the drain limit.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainLimit+stopMargin)
	defer cancel()
	return n.app.Stop(ctx)
}

// Kill stops the node without draining, the closest to a crash that is possible within a
// process.
func (n *Node) Kill() {
	n.parts.Stopper.kill()
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	_ = n.app.Stop(ctx)
}

// Version returns the configuration version in force.
func (n *Node) Version() config.Version {
	return n.parts.State.version()
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	return n.parts.Status.read()
}

// Counter returns the node's byte counter.
func (n *Node) Counter() *link.Counter {
	return n.parts.Counter
}

// CallersAddress returns the address that callers connect to, IP:port.
func (n *Node) CallersAddress() string {
	return n.parts.Listeners.Callers.Addr().String()
}

// AdminAddress returns the address that operators connect to, IP:port.
func (n *Node) AdminAddress() string {
	return n.parts.Listeners.Admin.Addr().String()
}

// Listing returns the expected host list entry of the node.
func (n *Node) Listing() host.Listing {
	return n.parts.State.self
}

func openListeners(s settings.Settings, given Listeners) (Listeners, error) {
	var err error
	open := func(existing net.Listener, address string) net.Listener {
		if existing != nil || err != nil {
			return existing
		}
		var opened net.Listener
		opened, err = net.Listen("tcp", address)
		return opened
	}
	given.Link = open(given.Link, s.LinkListen)
	given.Callers = open(given.Callers, s.CallersListen)
	given.Admin = open(given.Admin, s.AdminListen)
	if err != nil {
		given.close()
		return given, eris.Wrap(err, "listen")
	}
	return given, nil
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Link, l.Callers, l.Admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func selfListing(s settings.Settings, l Listeners) host.Listing {
	return host.Listing{
		ID:      host.ID(s.Host),
		Address: l.Link.Addr().String(),
		Place: datacentre.Place{
			Region:     datacentre.Region(s.Region),
			DataCentre: datacentre.ID(s.DataCentre),
		},
		Service: s.Service,
	}
}
