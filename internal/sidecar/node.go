// Package sidecar implements a node on the platform: it serves the callers of its host,
// runs requests on the backend server beside it, and watches the platform's store.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"google.golang.org/protobuf/proto"

	"boragefall/internal/balance"
	"boragefall/internal/catalog"
	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/control"
	"boragefall/internal/copytree"
	"boragefall/internal/exchange"
	"boragefall/internal/feed"
	"boragefall/internal/host"
	"boragefall/internal/intake"
	"boragefall/internal/link"
	"boragefall/internal/linkbudget"
	"boragefall/internal/listen"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/quota"
	"boragefall/internal/serverconn"
	"boragefall/internal/settings"
	"boragefall/internal/telemetry"
	"boragefall/internal/transfer"
)

const (
	// linkDialTimeout bounds the dialing of a link; hosts of a region are a few
	// milliseconds apart.
	linkDialTimeout = 400 * time.Millisecond
	// linkUnackedTimeout is how long bytes or keep-alive probes may remain
	// unacknowledged on a link. It is about as long as a request's objective.
	linkUnackedTimeout = time.Second
	// linkAcceptBurst is the number of links accepted at once: all nodes connect when a
	// node restarts.
	linkAcceptBurst = 200
	// linkRedialBackoffMax bounds the backoff after failed dials, so that a recovered
	// host receives requests within about a second.
	linkRedialBackoffMax = 800 * time.Millisecond
	// idleLinkCheckInterval is how often idle links are closed; it is short compared to
	// their idle timeout.
	idleLinkCheckInterval = 5 * time.Second
	// callerBodyMemoryDivisor is the divisor of the memory limit that yields the budget
	// for buffered bodies.
	callerBodyMemoryDivisor = 8
	// callerIdleTimeout is how long a caller's idle connection is kept open. It exceeds
	// any idle timeout that operators set for callers.
	callerIdleTimeout = 2 * time.Minute
	// readinessPropagationDelay is how long callers keep sending new requests to a node
	// that reports not ready: the platform probes once a second and needs two failed
	// probes.
	readinessPropagationDelay = 2500 * time.Millisecond
	// shutdownTimeout bounds the closing of each listener after the drain.
	shutdownTimeout = 100 * time.Millisecond
	// callerCloseTimeout bounds the closing of the callers' listener and of their idle
	// connections; requests in progress are awaited separately.
	callerCloseTimeout = 10 * time.Millisecond
	// drainPollInterval is how often a draining node checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
	// drainGraceShare is the share of the drain limit that requests in progress may
	// use; the rest is for closing.
	drainGraceShare = 0.85
)

// Platform is what a platform adapter provides.
type Platform struct {
	Store   feed.Store
	Decoder catalog.Decoder
	Headers protocol.HeaderCodec
}

// Options are what a node needs in addition to its settings. All fields are required.
type Options struct {
	Platform Platform
	Logger   *log.Logger
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() uint64
}

// Node is one running node.
type Node struct {
	app     *fx.App
	stopper *stopper
	peers   *peerDirectory
}

// Start starts a node.
func Start(ctx context.Context, s settings.Settings, o Options) (*Node, error) {
	n := &Node{}
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, o, o.Platform, o.Logger),
		fx.Provide(
			newCatalog, newMetrics, newIdentity, newDialers, newPeerDirectory, newNotifyingCrashTracker, newServerClient, newLastHop,
			newDispatcher, provideQuotaLedger, provideQuotaGuard, newEntry, newCallersServer, newFeed, newStreamServer, newLinkServer, newStopper, newNodeState, newGuard,
		),
		fx.Invoke(followCatalog, startLinks, startCrashSync, startCallers, startReady, startAdmin, startFeed),
		fx.Populate(&n.stopper, &n.peers),
		fx.StopTimeout(time.Minute),
	)
	if err := n.app.Start(ctx); err != nil {
		return nil, eris.Wrap(err, "start the node")
	}
	return n, nil
}

// Reload applies the settings that may change while the node runs: the seed peers.
func (n *Node) Reload(s settings.Settings) {
	n.peers.SetSeeds(s.Peers)
}

// Stop drains the node and stops it.
func (n *Node) Stop(ctx context.Context) error {
	n.stopper.drain(ctx)
	return n.app.Stop(ctx)
}

// nodeState is the state shared by several components.
type nodeState struct {
	stopping atomic.Bool
	// refusing reports that new requests of callers are refused, because the node is about
	// to end.
	refusing atomic.Bool
	// drain holds the end of the drain while the node is stopping.
	drain drainEnd
	// callerRequests counts the requests of this host's callers, peerRequests those of
	// other nodes, until their answers are sent.
	callerRequests, peerRequests atomic.Int64
}

func newNodeState() *nodeState { return &nodeState{} }

func newCatalog(p Platform, logger *log.Logger) *catalog.Catalog {
	return catalog.New(p.Decoder, logger)
}

func newMetrics(s settings.Settings, c *catalog.Catalog, o Options) *telemetry.Metrics {
	m := telemetry.NewMetrics(s.Host)
	m.Counter("log_lines_dropped_total", "Log lines lost because the output was too slow or closed.", func() float64 {
		return float64(o.DroppedLines())
	})
	m.Gauge("config_version", "Version of the configuration in force.", func() float64 {
		if view := c.View(); view.Config != nil {
			return float64(view.Config.Version)
		}
		return 0
	})
	m.Gauge("config_defects", "Parts of the configuration in force that were not understood, and numbers that were out of bounds.", func() float64 {
		if view := c.View(); view.Config != nil {
			return float64(len(view.Config.Defects))
		}
		return 0
	})
	m.Gauge("store_revision", "Newest revision of the store that was applied.", func() float64 {
		return float64(c.View().Version.Revision)
	})
	m.Gauge("store_era", "Era of the store that was applied: how often the store was restored from an older copy.", func() float64 {
		return float64(c.View().Version.Era)
	})
	return m
}

// dialers dial the links to other nodes.
type dialers struct {
	requests, control *link.Dialer
}

func linkConfig() link.Config {
	return link.Config{
		DialTimeout: linkDialTimeout, KeepAliveInterval: -1, UnackedTimeout: linkUnackedTimeout,
		AcceptBurst: linkAcceptBurst, RedialBackoffMax: linkRedialBackoffMax,
	}
}

// newIdentity identifies this process; its boot time tells other nodes that it was
// restarted.
func newIdentity(s settings.Settings) link.Identity {
	return link.Identity{Host: host.ID(s.Host), BootMillis: time.Now().UnixMilli()}
}

func newDialers(self link.Identity, lc fx.Lifecycle) dialers {
	counter := &link.Counter{}
	d := dialers{
		requests: link.NewDialer(linkConfig(), link.ClassRequest, self, counter),
		control:  link.NewDialer(linkConfig(), link.ClassControl, self, counter),
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() {
		go closeIdleLinks(ctx, d.requests, d.control)
	}, func() {
		cancel()
		d.requests.Close()
		d.control.Close()
	}))
	return d
}

// idleLinkCloser closes idle links.
type idleLinkCloser interface {
	CloseIdle(now time.Time)
}

// closeIdleLinks periodically closes idle links and removes their peers, which would
// otherwise accumulate because servers are replaced as long as a node runs.
func closeIdleLinks(ctx context.Context, links ...idleLinkCloser) {
	ticker := time.NewTicker(idleLinkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, l := range links {
				l.CloseIdle(now)
			}
		}
	}
}

func newPeerDirectory(s settings.Settings, c *catalog.Catalog, d dialers, logger *log.Logger) (*peerDirectory, error) {
	_, port, err := net.SplitHostPort(s.LinkListen)
	if err != nil {
		return nil, eris.Wrap(err, "parse the link address")
	}
	return &peerDirectory{
		Selector: copytree.NewSelector(copytree.Member{Address: s.LinkListen, DataCentre: s.DataCentre}, s.Peers),
		view:     c.View, self: s.LinkListen, linkPort: port, service: s.Service,
		control: control.NewClient(d.control), dataCentre: s.DataCentre, logger: logger,
	}, nil
}

func newNotifyingCrashTracker(n *peerDirectory, logger *log.Logger) (*crashTracker, *crashSync, error) {
	notices := &crashSync{peers: n.serviceNodes, exchange: n.control.NotifyCrash, logger: logger}
	tracker, err := newCrashTracker(notices.notify, logger)
	notices.tracker = tracker
	return tracker, notices, err
}

func newServerClient(s settings.Settings, p Platform) *serverconn.Client {
	return serverconn.NewClient(serverconn.NewPool(serverconn.Config{Address: s.Backend}), p.Headers)
}

func newLastHop(s settings.Settings, c *catalog.Catalog, store *feed.Feed, client *serverconn.Client, p *crashTracker, notices *crashSync, state *nodeState, links *linkServer, logger *log.Logger) (*LastHop, error) {
	return NewLastHop(LastHopConfig{
		LimitRuns: s.LimitWastedRuns,
		Address:   s.Backend, Service: s.Service, View: c.View, Client: client, Crashes: p, MarkLeaving: c.MarkLeaving, Drain: &state.drain, OnFirstProbe: notices.fetch, Logger: logger,
		StaleCopy: func(now time.Time) bool { return store.Age(now) > s.ConfigPropagationLimit },
		LinkMbps:  s.LinkMbps, LinkBacklog: links.unsentBytes,
		Bodies: newBodyReceiver(s.LinkMbps, s.MemoryMB), ColdLimit: ColdStartLimit{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack},
	})
}

func newDispatcher(s settings.Settings, platform Platform, c *catalog.Catalog, hop *LastHop, d dialers, n *peerDirectory, m *telemetry.Metrics, state *nodeState, logger *log.Logger) *Dispatcher {
	requests := exchange.NewClient(d.requests)
	requests.ObserveTransfers(func(r *contract.Request, u transfer.Usage) {
		if r.CrossesDataCentres {
			u.Nested = r.Nested
			n.transfers.RecordRequest(u)
		}
	})
	return &Dispatcher{
		dataCentre: s.DataCentre,
		hop:        hop, view: c.View, balancer: balance.New(s.DataCentre, rand.Float64), linkPort: n.linkPort, answerSizes: linkbudget.NewSizes(), logger: logger, meter: m,
		headers: platform.Headers, markLeaving: c.MarkLeaving,
		peers:       linkPeers{Client: requests, links: d.requests, control: n.control},
		retryBudget: RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack},
		answerTimes: linkbudget.NewTimes(), drain: &state.drain,
	}
}

func provideQuotaLedger(s settings.Settings, c *catalog.Catalog, n *peerDirectory, state *nodeState) *quotaLedger {
	workspace := func(name string) *mesh.Workspace {
		if view := c.View(); view.Config != nil && view.Config.Workspaces != nil {
			return view.Config.Workspaces.Find(name)
		}
		return nil
	}
	tolerance := quota.Tolerance{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack}
	return newQuotaLedger(s.LinkListen, n.linkPort, tolerance, workspace, &state.stopping)
}

func provideQuotaGuard(s settings.Settings, ledger *quotaLedger, d dialers, logger *log.Logger) *quotaGuard {
	return newQuotaGuard(s.LinkListen, ledger, control.NewSharedClient(d.requests), logger)
}

func newEntry(s settings.Settings, p Platform, c *catalog.Catalog, store *feed.Feed, quotas *quotaGuard, d *Dispatcher, m *telemetry.Metrics, f *nodeState, logger *log.Logger) *Entry {
	return &Entry{
		Origin: s.Service, View: c.View,
		CopyAge: copyAge{proven: store.ProvenAge, propagationLimit: s.ConfigPropagationLimit, revocationLimit: s.KeyRevocationLimit},
		Headers: p.Headers, Quotas: quotas, Dispatcher: d, Splitter: newTrafficSplitter(), CallerRetries: newCallerRetries(), Meter: m,
		Bodies: intake.NewBodyBuffer(intake.BodyConfig{Budget: int64(s.MemoryMB) << 20 / callerBodyMemoryDivisor}),
		Logger: logger, Stopping: &f.stopping, Refusing: &f.refusing, InFlight: &f.callerRequests,
	}
}

func newFeed(p Platform, n *peerDirectory, c *catalog.Catalog, m *telemetry.Metrics, logger *log.Logger) *feed.Feed {
	return feed.New(feed.Config{}, p.Store, n, c, m, logger)
}

func newStreamServer(self link.Identity, hop *LastHop, p *crashTracker, c *catalog.Catalog, f *feed.Feed, quotas *quotaLedger, state *nodeState, logger *log.Logger) *streamServer {
	version := func() config.Version {
		if view := c.View(); view.Config != nil {
			return config.Version{Revision: view.Config.Version}
		}
		return config.Version{}
	}
	return &streamServer{
		requests: exchange.NewServer(hop, version, logger), serving: &state.peerRequests, bootMillis: self.BootMillis,
		hop: hop, crashes: p, catalog: c, feed: f, quotas: quotas, encoder: newStateEncoder(), olderEras: newOlderEraPeers(), logger: logger,
	}
}

func followCatalog(c *catalog.Catalog, hop *LastHop, n *peerDirectory, quotas *quotaLedger) {
	c.OnChange(hop.Update)
	c.OnChange(n.update)
	c.OnChange(quotas.update)
}

func startCrashSync(lc fx.Lifecycle, s *crashSync) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go s.run(ctx) }, cancel))
}

// callersServer serves callers. It is shut down during the drain, before the other
// listeners.
type callersServer struct{ *http.Server }

func newCallersServer(e *Entry) callersServer {
	return callersServer{&http.Server{
		Handler: e.Handler(), IdleTimeout: callerIdleTimeout,
		// net/http answers OPTIONS * itself otherwise, as no server of a route would.
		DisableGeneralOptionsHandler: true,
	}}
}

// newGuard bounds what untrusted clients can take.
func newGuard(s settings.Settings, m *telemetry.Metrics, logger *log.Logger) *listen.Guard {
	return listen.NewGuard(listen.LimitsOf(listen.Resources{MemoryMB: s.MemoryMB, Descriptors: s.MaxFDs}), m, logger)
}

func startCallers(lc fx.Lifecycle, s settings.Settings, callers callersServer, guard *listen.Guard, logger *log.Logger) {
	startHTTPServer(lc, logger, "callers", s.CallersListen, callers.Server, guard.Callers(callers.Server))
}

func startReady(lc fx.Lifecycle, s settings.Settings, c *catalog.Catalog, f *nodeState, guard *listen.Guard, logger *log.Logger) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if f.stopping.Load() || c.View().Config == nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusOK)
		}),
		IdleTimeout: callerIdleTimeout,
	}
	startHTTPServer(lc, logger, "ready", s.ReadyListen, server, guard.Operators("ready", server))
}

func startAdmin(lc fx.Lifecycle, s settings.Settings, m *telemetry.Metrics, hop *LastHop, peers *peerDirectory, f *feed.Feed, client *serverconn.Client, entry *Entry, guard *listen.Guard, logger *log.Logger) {
	m.Gauge("gate_running", "Requests that the server beside this node runs.", func() float64 { return float64(hop.Load().Running) })
	m.Gauge("gate_queued", "Requests that wait for the server beside this node.", func() float64 { return float64(hop.Load().Queued) })
	m.Gauge("gate_service_seconds", "Mean time that the server takes for a request at its usual speed.", func() float64 { return hop.Load().ServiceTime.Seconds() })
	m.Gauge("gate_failing_ratio", "Share of requests that the server failed lately.", func() float64 { return hop.Load().FailureRate })
	hop.answers.registerMetrics(m)
	m.Gauge("server_limit_per_second", "Request rate that the server beside this node states it accepts; -1 while it states none.", func() float64 {
		if limit := hop.RateLimit(); limit.Stated {
			return limit.PerSecond
		}
		return -1
	})
	registerSpeedMetrics(m, hop)
	m.Counter("server_requests_total", "Requests sent to the server beside this node.", func() float64 { return float64(hop.handedOver.Load()) })
	m.Counter("server_cold_times_cut_total", "Health checks in which the server beside this node stated a cold time out of bounds.", func() float64 {
		return float64(hop.coldTimesCut.Load())
	})
	m.Gauge("config_age_seconds", "Time since the configuration was known to be current.", func() float64 { return f.Age(time.Now()).Seconds() })
	m.Gauge("config_proven_age_seconds", "Upper bound on the age of the configuration; -1 while nothing is proven.", func() float64 {
		if age, ok := f.ProvenAge(); ok {
			return age.Seconds()
		}
		return -1
	})
	for _, kind := range transfer.Kinds() {
		m.LabelledCounter("datacentre_bytes_total", "Bytes exchanged with nodes of other data centres on requests and state queries that this node sent, by kind.",
			"kind", kind.String(), func() float64 { return float64(peers.transfers.Bytes(kind)) })
	}
	m.Gauge("quarantined_requests", "Requests that are refused because servers crashed while they ran them.", func() float64 {
		return float64(len(hop.crashes.quarantinedRequests(time.Now())))
	})
	registerCallBudget(m, hop.callBudget)
	m.Counter("server_connections_total", "Connections made to the server beside this node.", func() float64 { return float64(client.Opened()) })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	mux.Handle("GET "+ChoicePath, &choiceExplainer{entry: entry, host: s.Host, storeAge: f.Age})
	server := &http.Server{Handler: mux}
	startHTTPServer(lc, logger, "admin", s.AdminListen, server, guard.Operators("admin", server))
}

func startHTTPServer(lc fx.Lifecycle, logger *log.Logger, name, address string, server *http.Server, bounded *listen.Listener) {
	lc.Append(fx.StartStopHook(func() error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", name)
		}
		go func() {
			if err := server.Serve(bounded.On(listener)); err != nil && !eris.Is(err, http.ErrServerClosed) {
				logger.Error().Str("part", "node").Str("listener", name).Err(err).Msg("listener failed")
			}
		}()
		return nil
	}, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			return server.Close()
		}
		return nil
	}))
}

func startFeed(lc fx.Lifecycle, f *feed.Feed) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() {
		go f.Run(ctx)
		go f.RunMaintenance(ctx)
	}, cancel))
}

// reply sends the answer to a control request.
func (s *streamServer) reply(stream *link.Stream, answer proto.Message) {
	err := stream.Send(answer)
	if err == nil {
		err = stream.Flush()
	}
	if err != nil {
		s.logger.Debug().Str("part", "link").Err(err).Msg("failed to send a control answer")
	}
}
