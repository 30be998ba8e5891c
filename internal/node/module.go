package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"boragefall/internal/backend"
	"boragefall/internal/caller"
	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/contract"
	"boragefall/internal/control"
	"boragefall/internal/dispatch"
	"boragefall/internal/exchange"
	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/intake"
	"boragefall/internal/lasthop"
	"boragefall/internal/ledger"
	"boragefall/internal/link"
	"boragefall/internal/listen"
	"boragefall/internal/membership"
	"boragefall/internal/retry"
	"boragefall/internal/routing"
	"boragefall/internal/settings"
	"boragefall/internal/spread"
	"boragefall/internal/telemetry"
)

// parts are the injected objects that Node uses directly.
type parts struct {
	fx.In

	State     *state
	Status    *statusReader
	Counter   *link.Counter
	Listeners Listeners
	Stopper   *stopper
}

// module constructs and starts all components of a node. Stop hooks run in the reverse
// order of the start hooks: the planned stop first, the links last.
var module = fx.Options(
	fx.Provide(
		newLogger, newBootTime, newIdentity, newSelf, newState, newCounter,
		newMetrics, newTracing, newControlDialer, newRequestDialer,
		control.NewClient, newPlatform, newBackend, newGate, newLedger, provideOwner,
		routing.NewStatsRegistry, newDirectory, newDirectoryUpdater, newRegistry, newApplier, newRunner,
		newPolicy, newHop, newDispatcher, newAdmitter, newBodies, newCallers, newStreams, newLinkListener,
		provideMaintenance, newStatusReader, newFleet, newAdmin, newStopper, newGuard,
	),
	fx.Invoke(startLinks, startWorkers, startServers, startStopper),
)

// bootTime is the start time of this process.
type bootTime time.Time

func newBootTime() bootTime { return bootTime(time.Now()) }

func newLogger(o Options) *log.Logger { return o.Logger }

func newSelf(s settings.Settings, l Listeners) host.Listing { return selfListing(s, l) }

func newIdentity(s settings.Settings, b bootTime) link.Identity {
	return link.Identity{
		Host:       host.ID(s.Host),
		BootMillis: time.Time(b).UnixMilli(),
		Validation: config.ValidationNumber,
	}
}

func newCounter() *link.Counter { return &link.Counter{} }

func newMetrics(s settings.Settings) *telemetry.Metrics { return telemetry.NewMetrics(s.Host) }

func newTracing(lc fx.Lifecycle, s settings.Settings, o Options) (*telemetry.Tracing, error) {
	tracing, err := telemetry.NewTracing(context.Background(), telemetry.TracingConfig{
		Exporter: telemetry.Exporter(s.TraceExporter),
		Endpoint: s.TraceEndpoint,
		Ratio:    s.TraceRatio,
		Host:     s.Host,
	}, o.Stdout)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(tracing.Close))
	return tracing, nil
}

// controlDialer and requestDialer are distinct types so that fx can inject both.
type (
	controlDialer struct{ *link.Dialer }
	requestDialer struct{ *link.Dialer }
)

// controlIdleTimeout is short because each gossip message goes to a different peer,
// and 1,800 open links would cost more than dialing again. Links that carry heartbeats
// stay open, since one is sent every second, and unresponsive links are closed, so
// control links need no keep-alive probes.
const controlIdleTimeout = 5 * time.Second

func newControlDialer(id link.Identity, c *link.Counter) (controlDialer, *link.Dialer) {
	d := link.NewDialer(link.Config{IdleTimeout: controlIdleTimeout, KeepAliveInterval: -1}, link.ClassControl, id, c)
	return controlDialer{d}, d
}

func newRequestDialer(id link.Identity, c *link.Counter) requestDialer {
	return requestDialer{link.NewDialer(link.Config{}, link.ClassRequest, id, c)}
}

func newPlatform(s settings.Settings) *configservice.Client {
	return configservice.NewClient(configservice.Config{BaseURL: s.Platform}, nil)
}

func newBackend(s settings.Settings) *backend.Client {
	return backend.NewClient(backend.Config{Address: s.Backend})
}

func newGate(logger *log.Logger) *gate.Gate { return gate.New(gate.Config{}, logger) }

func newLedger(b bootTime) *ledger.Ledger { return ledger.New(ledger.Config{}, time.Time(b)) }

func provideOwner(self host.Listing, b bootTime, client *control.Client, g *gate.Gate) *owner {
	return newOwner(self, time.Time(b), client, g)
}

func newDirectory(self host.Listing, stats *routing.StatsRegistry) *routing.Directory {
	return routing.NewDirectory(routing.DirectoryConfig{Place: self.Place, Host: self.ID}, stats)
}

func newRegistry(self host.Listing, b bootTime, updater *directoryUpdater) *membership.Registry {
	own := host.Record{
		ID:         self.ID,
		BootMillis: time.Time(b).UnixMilli(),
		Sequence:   1,
		Address:    self.Address,
		Place:      self.Place,
		Service:    self.Service,
		State:      host.StateCold,
		Capacity:   1,
	}
	return membership.NewRegistry(membership.Config{}, own, time.Now(), updater)
}

func newApplier(s *state, r *membership.Registry, g *gate.Gate, b *backend.Client, o *owner, admitter *intake.Admitter) *applier {
	return &applier{state: s, registry: r, gate: g, backend: b, owner: o, admitter: admitter}
}

func newRunner(s settings.Settings, self host.Listing, client *control.Client, source *configservice.Client, a *applier, r *membership.Registry, logger *log.Logger) *spread.Runner {
	cfg := spread.Config{BootPeers: s.Peers, ControlBytesPerSecond: s.ControlBytesPerSecond, Records: r}
	return spread.NewRunner(cfg, self, client, source, a, logger)
}

func newPolicy() *retry.Policy { return retry.NewPolicy(retry.Config{MaxReroutes: contract.MaxFences}) }

func newHop(self host.Listing, s *state, g *gate.Gate, l *ledger.Ledger, o *owner, b *backend.Client, t *telemetry.Tracing, logger *log.Logger) *lasthop.Hop {
	return lasthop.New(lasthop.Config{
		Host: self.ID, Service: self.Service, Snapshot: s.snapshot.Load,
		Gate: g, Ledger: l, Owner: o, Backend: b, Tracer: t, Logger: logger,
	})
}

func newDispatcher(self host.Listing, hop *lasthop.Hop, d requestDialer, directory *routing.Directory, policy *retry.Policy, s *state, registry *membership.Registry, t *telemetry.Tracing, m *telemetry.Metrics) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Self: self.ID, Local: hop, Remote: exchange.NewClient(d.Dialer), Directory: directory,
		Policy: policy, HostList: s.list.Load, Contacts: registry, Tracer: t, Meter: m,
	})
}

// callers is the HTTP server for callers.
type callers struct{ *http.Server }

const idleTimeout = 60 * time.Second

// Memory limits for buffered request bodies, sized for small hosts.
const (
	bodyBudgetBytes      = 16 << 20
	maxBufferedBodyBytes = 256 << 10
)

func newAdmitter() *intake.Admitter { return intake.NewAdmitter(intake.Config{}) }

func newBodies() *intake.BodyBuffer {
	return intake.NewBodyBuffer(intake.BodyConfig{Budget: bodyBudgetBytes, MaxBuffered: maxBufferedBodyBytes})
}

func newCallers(s *state, d *dispatch.Dispatcher, admitter *intake.Admitter, bodies *intake.BodyBuffer, t *telemetry.Tracing, m *telemetry.Metrics, logger *log.Logger) callers {
	handler := caller.NewHandler(caller.Config{
		View: s.view.Load, Leaving: s.leaving, Dispatcher: d,
		Bodies: bodies, Admitter: admitter,
		Tracer: t, Meter: m, Logger: logger,
	})
	// net/http answers OPTIONS * itself otherwise, as no server of a route would.
	return callers{&http.Server{Handler: handler, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true}}
}

// newGuard bounds what untrusted clients can take.
func newGuard(s settings.Settings, m *telemetry.Metrics, logger *log.Logger) *listen.Guard {
	return listen.NewGuard(listen.LimitsOf(listen.Resources{MemoryMB: s.MemoryMB, Descriptors: s.MaxFDs}), m, logger)
}

func newStreams(hop *lasthop.Hop, s *state, runner *spread.Runner, o *owner, logger *log.Logger) *streams {
	return &streams{
		control:  &control.Server{Gossip: runner, Pull: runner, Heartbeat: o},
		requests: exchange.NewServer(hop, s.version, logger),
	}
}

func newLinkListener(id link.Identity, c *link.Counter, l Listeners, handler *streams, guard *listen.Guard, logger *log.Logger) *link.Listener {
	bounds := guard.Limits()
	limits := link.Limits{Links: bounds.Links, Streams: bounds.Streams, Bytes: bounds.StreamBytes, Closed: guard.Closed}
	return link.NewListener(link.Config{Limits: limits}, id, c, l.Link, handler, logger)
}

func provideMaintenance(s settings.Settings, r *membership.Registry, g *gate.Gate, o *owner, b *backend.Client, c controlDialer, q requestDialer, logger *log.Logger) *maintenance {
	return newMaintenance(s, r, g, o, b, []*link.Dialer{c.Dialer, q.Dialer}, logger)
}

// startLinks serves peers from the start of the node until all other components have stopped.
func startLinks(lc fx.Lifecycle, listener *link.Listener, c controlDialer, q requestDialer, b *backend.Client) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go listener.Serve(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			c.Close()
			q.Close()
			listener.Close()
			b.Close()
			return nil
		},
	})
}

// startWorkers runs the node's background tasks.
func startWorkers(lc fx.Lifecycle, runner *spread.Runner, o *owner, u *maintenance) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	run := func(task func(context.Context)) {
		go func() {
			task(ctx)
			done <- struct{}{}
		}()
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			run(runner.Run)
			run(o.run)
			run(u.run)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			for range cap(done) {
				<-done
			}
			return nil
		},
	})
}

// startServers starts the HTTP servers for callers and operators.
func startServers(lc fx.Lifecycle, l Listeners, c callers, a admin, guard *listen.Guard) {
	serve := func(server *http.Server, listener net.Listener) {
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				go func() { _ = server.Serve(listener) }()
				return nil
			},
			OnStop: func(context.Context) error { return server.Close() },
		})
	}
	serve(a.Server, guard.Operators("admin", a.Server).On(l.Admin))
	serve(c.Server, guard.Callers(c.Server).On(l.Callers))
}
