package workload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	// WithoutNodes starts the platform and the backend servers only. Default
	// false.
	WithoutNodes bool
	// TuneServer changes the configuration of each backend server before its
	// start. Default none.
	TuneServer func(*standin.ServerConfig)
	// Cut lets the links between nodes be parted. Default none.
	Cut *Cut
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

	sourceBytes atomic.Int64
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
	if f.cfg.WithoutNodes {
		return nil
	}
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
	listener = &countingListener{Listener: listener, count: &f.sourceBytes}
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
	centre := f.Deployment.centre(i)
	id := host.ID(fmt.Sprintf("%s-%s-%d", centre, size.Name, i+1))
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	cfg := standin.ServerConfig{
		Host: id, Listen: address, Slots: size.Slots, Connections: size.Connections,
		ColdLimit: size.ColdLimit, WorkTime: size.WorkTime, StartWarm: f.cfg.StartWarm,
	}
	if f.cfg.TuneServer != nil {
		f.cfg.TuneServer(&cfg)
	}
	server, err := standin.NewServer(cfg, f.Record)
	if err != nil {
		return eris.Wrap(err, "start server")
	}
	listeners, err := openListeners()
	if err != nil {
		return err
	}
	linkAddress := listeners.Link.Addr().String()
	place := datacentre.Place{Region: f.Deployment.Region, DataCentre: centre}
	m := &Member{
		Listing: host.Listing{ID: id, Address: linkAddress, Place: place, Service: size.Name},
		Server:  server,
		sockets: listeners,
		settings: settings.Settings{
			Host: string(id), DataCentre: string(centre), Region: string(place.Region),
			Service: size.Name, Backend: server.Address(),
			HealthPath: standin.PathHealth, LoadPath: standin.PathLoad,
			LinkListen: linkAddress, CallersListen: listeners.Callers.Addr().String(),
			AdminListen: listeners.Admin.Addr().String(),
			Platform:    f.url, LogLevel: "info", TraceExporter: "off",
			DrainLimit: f.cfg.DrainLimit, ControlBytesPerSecond: 7000,
		},
	}
	if f.cfg.Tune != nil {
		f.cfg.Tune(&m.settings)
	}
	f.Members = append(f.Members, m)
	return nil
}

// PlatformURL returns the base URL of the stand-in platform.
func (f *Fleet) PlatformURL() string {
	return f.url
}

// SourceBytes returns the bytes that the platform received and sent.
func (f *Fleet) SourceBytes() int64 {
	return f.sourceBytes.Load()
}

// openListeners opens a node's sockets on free loopback ports. They stay open
// until the node takes them, so that nothing else gets the ports.
func openListeners() (node.Listeners, error) {
	var opened [3]net.Listener
	for i := range opened {
		listener, err := Listen()
		if err != nil {
			return node.Listeners{}, err
		}
		opened[i] = listener
	}
	return node.Listeners{Link: opened[0], Callers: opened[1], Admin: opened[2]}, nil
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
