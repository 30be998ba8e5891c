package workload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/node"
	"boragefall/internal/settings"
	"boragefall/internal/standin"
)

// ErrNotReady reports a fleet that did not become ready in time.
var ErrNotReady = eris.New("the fleet did not become ready")

// FleetConfig says how a fleet runs.
type FleetConfig struct {
	// Logger takes the nodes' logs. Required.
	Logger *log.Logger
	// Platform bounds the stand-in platform. Default: today's limits.
	Platform standin.PlatformConfig
	// StartWarm starts the stand-in servers warm; their gates still start cold.
	StartWarm bool
	// Copies multiplies the number of hosts of each service. Default 1.
	Copies int
	// DrainLimit bounds planned stops. Default 10 s.
	DrainLimit time.Duration
	// Tune changes the settings of each node before its start. Default none.
	Tune func(*settings.Settings)
}

// Fleet is a deployment's platform, backend servers and nodes.
type Fleet struct {
	Deployment Deployment
	Platform   *standin.Platform
	Record     *standin.Record
	Members    []*Member

	cfg      FleetConfig
	files    []config.File
	platform *http.Server
	url      string
}

// Member is one host: a backend server and the node beside it.
type Member struct {
	Listing host.Listing
	Server  *standin.Server

	mu       sync.Mutex
	node     *node.Node
	settings settings.Settings
}

// Node returns the running node, or nil while it is stopped.
func (m *Member) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// StartFleet starts a deployment and waits until every node is ready.
func StartFleet(ctx context.Context, d Deployment, cfg FleetConfig) (*Fleet, error) {
	if cfg.Copies == 0 {
		cfg.Copies = 1
	}
	if cfg.DrainLimit == 0 {
		cfg.DrainLimit = 10 * time.Second
	}
	files, err := d.Folder()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: d, Platform: standin.NewPlatform(cfg.Platform), Record: standin.NewRecord(), cfg: cfg, files: files}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startServers(); err != nil {
		return err
	}
	f.Platform.Publish(f.files)
	f.Platform.SetHosts(f.Listings())
	for _, m := range f.Members {
		if err := f.StartNode(ctx, m); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start platform")
	}
	f.url = "http://" + listener.Addr().String()
	f.platform = &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.platform.Serve(listener) }()
	return nil
}

func (f *Fleet) startServers() error {
	for _, size := range f.Deployment.Services {
		for i := range size.Hosts * f.cfg.Copies {
			if err := f.addMember(size, i); err != nil {
				return err
			}
		}
	}
	peers := f.bootPeers()
	for _, m := range f.Members {
		m.settings.Peers = peers
	}
	return nil
}

// addMember starts the i-th server of a service; hosts go round the data
// centres.
func (f *Fleet) addMember(size ServiceSize, i int) error {
	centre := f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)]
	id := host.ID(fmt.Sprintf("%s-%s-%d", centre, size.Name, i+1))
	server, err := standin.NewServer(standin.ServerConfig{
		Host: id, Slots: size.Slots, Connections: size.Connections,
		ColdLimit: size.ColdLimit, WorkTime: size.WorkTime, StartWarm: f.cfg.StartWarm,
	}, f.Record)
	if err != nil {
		return eris.Wrap(err, "start server")
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	place := datacentre.Place{Region: f.Deployment.Region, DataCentre: centre}
	m := &Member{
		Listing: host.Listing{ID: id, Address: addresses[0], Place: place, Service: size.Name},
		Server:  server,
		settings: settings.Settings{
			Host: string(id), DataCentre: string(centre), Region: string(place.Region),
			Service: size.Name, Backend: server.Address(),
			HealthPath: standin.PathHealth, LoadPath: standin.PathLoad,
			LinkListen: addresses[0], CallersListen: addresses[1], AdminListen: addresses[2],
			Platform: f.url, LogLevel: "info", TraceExporter: "off",
			DrainLimit: f.cfg.DrainLimit, ControlBytesPerSecond: 7000,
		},
	}
	if f.cfg.Tune != nil {
		f.cfg.Tune(&m.settings)
	}
	f.Members = append(f.Members, m)
	return nil
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "find a free address")
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// bootPeers names a few nodes that every other asks first at its start.
func (f *Fleet) bootPeers() []string {
	const count = 3
	var peers []string
	step := max(1, len(f.Members)/count)
	for i := 0; i < len(f.Members) && len(peers) < count; i += step {
		peers = append(peers, f.Members[i].Listing.Address)
	}
	return peers
}

// Listings returns the host list's entries.
func (f *Fleet) Listings() []host.Listing {
	listings := make([]host.Listing, 0, len(f.Members))
	for _, m := range f.Members {
		listings = append(listings, m.Listing)
	}
	return listings
}

// StartNode starts the node of a member that has none.
func (f *Fleet) StartNode(ctx context.Context, m *Member) error {
	n, err := node.Start(ctx, m.settings, node.Options{Logger: f.cfg.Logger})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
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

const (
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// WaitReady waits until every running node is ready and knows all hosts.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.Members {
		for !f.ready(m) {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return eris.Wrapf(ErrNotReady, "%s", m.Listing.ID)
			}
		}
	}
	return nil
}

func (f *Fleet) ready(m *Member) bool {
	n := m.Node()
	if n == nil {
		return true
	}
	status := n.Status()
	return status.Ready && status.Members >= len(f.Members)
}

// Close stops everything at once.
func (f *Fleet) Close() {
	var work sync.WaitGroup
	for _, m := range f.Members {
		work.Go(func() {
			f.KillNode(m)
			m.Server.Close()
		})
	}
	work.Wait()
	if f.platform != nil {
		_ = f.platform.Close()
	}
}
