package workload

import (
	"context"
	"sync"

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
	n, err := node.Start(ctx, m.settings, node.Options{Logger: f.cfg.Logger, Listeners: m.sockets})
	if err != nil {
		return err
	}
	m.sockets = node.Listeners{}
	m.node = n
	return nil
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
