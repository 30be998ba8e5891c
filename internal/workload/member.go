package workload

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"boragefall/internal/host"
	"boragefall/internal/node"
	"boragefall/internal/settings"
	"boragefall/internal/standin"
)

// Member is one host: a backend server and the node beside it.
type Member struct {
	Listing host.Listing
	Server  *standin.Server

	mu       sync.Mutex
	node     *node.Node
	sockets  node.Listeners // of the first start; a restart listens anew
	settings settings.Settings
}

// Node returns the running node, or nil while it is stopped.
func (m *Member) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// StartNode starts the node of a member that has none.
func (f *Fleet) StartNode(ctx context.Context, m *Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	sockets, err := f.socketsOf(m)
	if err != nil {
		return err
	}
	n, err := node.Start(ctx, m.settings, node.Options{Logger: f.cfg.Logger, Listeners: sockets})
	if err != nil {
		return err
	}
	m.sockets = node.Listeners{}
	m.node = n
	return nil
}

// socketsOf returns the sockets for a node's start; with a cut, the link's is
// behind it.
func (f *Fleet) socketsOf(m *Member) (node.Listeners, error) {
	sockets := m.sockets
	if f.cfg.Cut == nil {
		return sockets, nil
	}
	if sockets.Link == nil {
		listener, err := net.Listen("tcp", m.settings.LinkListen)
		if err != nil {
			return sockets, eris.Wrap(err, "listen")
		}
		sockets.Link = listener
	}
	sockets.Link = f.cfg.Cut.listener(sockets.Link, m.Listing.ID, f.names)
	return sockets, nil
}

// names returns the names of all hosts.
func (f *Fleet) names() []host.ID {
	names := make([]host.ID, 0, len(f.Members))
	for _, m := range f.Members {
		names = append(names, m.Listing.ID)
	}
	return names
}

// StopNode is a planned stop of a member's node.
func (f *Fleet) StopNode(ctx context.Context, m *Member) error {
	m.mu.Lock()
	n := m.node
	m.mu.Unlock()
	err := n.Stop(ctx)
	m.mu.Lock()
	m.node = nil
	m.mu.Unlock()
	return err
}

// KillNode ends a member's node at once.
func (f *Fleet) KillNode(m *Member) {
	m.mu.Lock()
	n := m.node
	m.node = nil
	m.mu.Unlock()
	if n != nil {
		n.Kill()
	}
}
