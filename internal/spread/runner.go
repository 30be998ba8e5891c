package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Transport carries exchanges to other nodes.
type Transport interface {
	Gossip(ctx context.Context, address string, message *wire.Gossip) (*wire.Gossip, error)
	Pull(ctx context.Context, address string, message *wire.Pull) (*wire.PullAnswer, error)
}

// Source reads documents from the platform. A watch that ends without a change returns
// nil, nil.
type Source interface {
	ReadConfig(ctx context.Context, held []config.File) (*configservice.Folder, error)
	WatchConfig(ctx context.Context, after uint64, wait time.Duration, held []config.File) (*configservice.Folder, error)
	ReadHosts(ctx context.Context) (*configservice.Folder, error)
	WatchHosts(ctx context.Context, after uint64, wait time.Duration) (*configservice.Folder, error)
}

// Applier applies valid versions. Its methods are called sequentially, in the order of
// the versions.
type Applier interface {
	ApplyConfig(snapshot *config.Snapshot)
	ApplyHostList(list *host.List)
}

// sourceTimeout is the timeout of one read of the source, in addition to its wait.
const sourceTimeout = 20 * time.Second

// Runner performs the I/O of a Machine. It is safe for concurrent use.
type Runner struct {
	cfg       Config
	transport Transport
	source    Source
	applier   Applier
	logger    *log.Logger

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	machine        *Machine
	pendingApplies []Apply
	sourceFailing  [len(kinds)]bool // the last read of the source failed

	applySignal chan struct{} // signals that pendingApplies is not empty
}

// NewRunner returns a runner that handles requests of peers. Run starts its own activity.
func NewRunner(cfg Config, self host.Listing, transport Transport, source Source, applier Applier, logger *log.Logger) *Runner {
	cfg = cfg.withDefaults()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		cfg:         cfg,
		transport:   transport,
		source:      source,
		applier:     applier,
		logger:      logger,
		ctx:         ctx,
		cancel:      cancel,
		machine:     NewMachine(cfg, self, BuildValidator{}, random, time.Now()),
		applySignal: make(chan struct{}, 1),
	}
}

// Run drives the machine until ctx ends, and returns when all its goroutines have ended.
func (r *Runner) Run(ctx context.Context) {
	defer r.stop()
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	r.step(r.machine.Tick)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(r.machine.Tick)
		case <-r.applySignal:
			r.applyPending()
		}
	}
}

func (r *Runner) stop() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.tasks.Wait()
}

// HandleGossip answers a peer's gossip.
func (r *Runner) HandleGossip(_ context.Context, message *wire.Gossip) *wire.Gossip {
	var reply *wire.Gossip
	r.step(func(now time.Time) []Effect {
		var effects []Effect
		reply, effects = r.machine.GossipReceived(now, message)
		return effects
	})
	return reply
}

// HandlePull answers a peer's pull.
func (r *Runner) HandlePull(message *wire.Pull) *wire.PullAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.HandlePullRequest(time.Now(), message)
}

// SetPeers replaces the known hosts that are not in the host list.
func (r *Runner) SetPeers(extra []host.Listing) {
	r.step(func(now time.Time) []Effect { return r.machine.PeersChanged(now, extra) })
}

// Status returns the current status.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Status(time.Now())
}

// step passes one input to the machine and executes the resulting effects.
func (r *Runner) step(input func(now time.Time) []Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range input(time.Now()) {
		r.execute(e)
	}
}

// execute executes one effect. The caller holds the lock, which preserves the order of
// applies; effects that may block run in their own goroutine.
func (r *Runner) execute(e Effect) {
	if r.closed {
		return
	}
	switch e := e.(type) {
	case SendGossip:
		r.tasks.Go(func() { r.gossip(e) })
	case SendPull:
		r.tasks.Go(func() { r.pull(e) })
	case ReadSource:
		r.tasks.Go(func() { r.read(e) })
	case Rejected:
		r.logger.Warn().Str("part", "spread").Str("kind", e.Kind.String()).
			Str("version", e.Version.String()).Str("reason", e.Reason).Msg("version rejected")
	case Apply:
		r.pendingApplies = append(r.pendingApplies, e)
		select {
		case r.applySignal <- struct{}{}:
		default:
		}
	}
}

func (r *Runner) gossip(e SendGossip) {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ExchangeTimeout)
	defer cancel()
	reply, err := r.transport.Gossip(ctx, e.Address, e.Message)
	r.step(func(now time.Time) []Effect {
		if err != nil {
			return r.machine.PeerFailed(now, e.Address)
		}
		return r.machine.GossipAnswered(now, e.Address, reply)
	})
}

func (r *Runner) pull(e SendPull) {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ExchangeTimeout)
	defer cancel()
	answer, err := r.transport.Pull(ctx, e.Address, e.Message)
	r.step(func(now time.Time) []Effect {
		if err != nil {
			return r.machine.HandlePullFailure(now, e.ID)
		}
		return r.machine.HandlePullAnswer(now, e.ID, answer)
	})
}

func (r *Runner) read(e ReadSource) {
	ctx, cancel := context.WithTimeout(r.ctx, e.Wait+sourceTimeout)
	defer cancel()
	folder, err := r.readFolder(ctx, e)
	r.step(func(now time.Time) []Effect {
		r.logSourceState(e.Kind, err)
		switch {
		case err != nil:
			return r.machine.SourceFailed(now, e.Kind, err)
		case folder == nil:
			return r.machine.SourceUnchanged(now, e.Kind)
		default:
			return r.machine.SourceRead(now, e.Kind, folder.Revision, folder.Files)
		}
	})
}

func (r *Runner) readFolder(ctx context.Context, e ReadSource) (*configservice.Folder, error) {
	watch := e.Wait > 0
	switch {
	case e.Kind == KindConfig && watch:
		return r.source.WatchConfig(ctx, e.After, e.Wait, e.Held)
	case e.Kind == KindConfig:
		return r.source.ReadConfig(ctx, e.Held)
	case watch:
		return r.source.WatchHosts(ctx, e.After, e.Wait)
	default:
		return r.source.ReadHosts(ctx)
	}
}

// logSourceState logs when reads start to fail and when they succeed again.
func (r *Runner) logSourceState(kind wire.DocumentKind, err error) {
	i, ok := kindIndex(kind)
	if !ok || r.closed || r.sourceFailing[i] == (err != nil) {
		return
	}
	r.sourceFailing[i] = err != nil
	if err != nil {
		r.logger.Warn().Str("part", "spread").Str("kind", kind.String()).Err(err).Msg("source read failed")
		return
	}
	r.logger.Info().Str("part", "spread").Str("kind", kind.String()).Msg("source read again")
}

// applyPending passes pending versions to the applier in order, without the lock.
func (r *Runner) applyPending() {
	r.mu.Lock()
	applies := r.pendingApplies
	r.pendingApplies = nil
	r.mu.Unlock()
	for _, a := range applies {
		r.logger.Info().Str("part", "spread").Str("kind", a.Bundle.Kind.String()).
			Str("version", a.Bundle.Version.String()).Str("hash", a.Bundle.Hash.String()).Msg("version applied")
		if a.Document.Snapshot != nil {
			r.applier.ApplyConfig(a.Document.Snapshot)
		}
		if a.Document.List != nil {
			r.applier.ApplyHostList(a.Document.List)
		}
	}
}
