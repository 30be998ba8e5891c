// Package feed keeps a node's catalog up to date. A few nodes of the fleet list and
// watch the store; the others follow a copy of theirs, and read the store themselves
// when no copy that they find is young enough. While the store does not answer, a
// node asks any other.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"boragefall/internal/catalog"
	"boragefall/internal/copytree"
)

// ErrCompacted reports that the store no longer holds the events after the
// revision that a watch named.
var ErrCompacted = eris.New("the store's history after this revision is gone")

// Store is read by a Feed.
type Store interface {
	// List returns all items and the revision from which a watch misses nothing.
	List(ctx context.Context) ([]catalog.Item, uint64, error)
	// Watch returns the events after a revision and the revision to go on from.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Item, uint64, error)
}

// PeerState is what a peer knows of the store beyond a revision.
type PeerState struct {
	// Items changed after the revision; Complete reports that they are all that
	// exist.
	Items    []catalog.Item
	Complete bool
	// Revision is the one up to which the peer knows the store.
	Revision uint64
	// Age is the time since the peer's copy was known to be current.
	Age time.Duration
}

// Peers are the other nodes' copies of the store.
type Peers interface {
	// Upstream returns the node whose copy this one follows, and false when this
	// node is to read the store itself.
	Upstream(now time.Time) (copytree.Upstream, bool)
	// Eject keeps a node from being followed until a time.
	Eject(address string, until time.Time)
	// ClearEjections takes all of that back.
	ClearEjections()
	// Follow asks a node for what it knows beyond a revision, as soon as there is
	// something or the wait is over.
	Follow(ctx context.Context, address string, revision uint64, wait time.Duration) (PeerState, error)
	// Query asks any node at once, now the usual upstream and now another.
	Query(ctx context.Context, revision uint64) (PeerState, error)
}

// probeWait is the wait of a watch after a failed call, and of one that only renews
// the copy of a node that is to follow others. It returns at once, so that a store
// that is silent costs no more than a call's own timeout.
const probeWait = time.Millisecond

// Meter counts calls of the store by result.
type Meter interface {
	StoreCalled(call, result string)
}

// Feed keeps a catalog up to date.
type Feed struct {
	cfg     Config
	store   Store
	peers   Peers
	catalog *catalog.Catalog
	meter   Meter
	logger  *log.Logger
	// storeFailing reports that this node's last call of the store failed and that it
	// follows no other since.
	storeFailing atomic.Bool
	// noFreshCopy reports that no young copy was found since that call either.
	noFreshCopy atomic.Bool
	// currentAsOf is when the catalog was last known to be current. It holds the
	// steady clock's reading as well: the time of day may jump.
	currentAsOf atomic.Pointer[time.Time]
	// complete reports that the catalog holds all items of its revision, so that it
	// may be watched or followed from there.
	complete atomic.Bool
	// relist reports that the store must be listed before it is watched again. Only
	// Run touches it, and what follows.
	relist bool
	// upstreamFailures counts the upstreams that failed one after the other.
	upstreamFailures int
	// retryDelay is the one after the next failed call of the store.
	retryDelay time.Duration
	// listInsteadOfWatch reports that the last events were large: a watch brings every
	// version of a key, a list only the last.
	listInsteadOfWatch bool
}

// New returns a feed.
func New(cfg Config, store Store, peers Peers, c *catalog.Catalog, meter Meter, logger *log.Logger) *Feed {
	f := &Feed{cfg: cfg.withDefaults(), store: store, peers: peers, catalog: c, meter: meter, logger: logger}
	f.currentAsOf.Store(&time.Time{}) // a node that has read nothing is as old as can be
	return f
}

// Run follows or reads until the context ends.
func (f *Feed) Run(ctx context.Context) {
	started := time.Now()
	f.retryDelay = f.cfg.RetryBase
	for ctx.Err() == nil {
		now := time.Now()
		upstream, follower := f.peers.Upstream(now)
		if follower && f.upstreamFailures < f.cfg.UpstreamAttempts && f.mayFollow(now.Sub(started)) {
			f.followOnce(ctx, upstream)
			continue
		}
		f.upstreamFailures = 0
		f.readOnce(ctx, follower, now.Sub(started))
	}
}

// followOnce asks the upstream for its copy, and passes over it for some time when
// that failed.
func (f *Feed) followOnce(ctx context.Context, upstream copytree.Upstream) {
	switch {
	case f.follow(ctx, upstream):
		f.upstreamFailures = 0
	case f.complete.Load():
		f.upstreamFailures++
		f.peers.Eject(upstream.Address, time.Now().Add(f.cfg.EjectionTime))
	default:
		f.sleep(ctx, f.cfg.BootstrapRetryDelay)
	}
}

// readOnce makes one call of the store, and pauses after it as its result asks for. A
// follower only renews its copy so.
func (f *Feed) readOnce(ctx context.Context, follower bool, uptime time.Duration) {
	wait := f.cfg.WatchWait
	if follower || f.storeFailing.Load() {
		wait = probeWait
	}
	changed, err := f.read(ctx, wait)
	switch {
	case err == nil:
		f.retryDelay = f.cfg.RetryBase
		if changed && !follower {
			f.sleep(ctx, f.batchDelay(uptime))
		}
	case errors.Is(err, ErrCompacted):
		f.logger.Info().Str("part", "feed").Uint64("revision", f.catalog.Revision()).Msg("history gone, listing anew")
		f.relist = true
		f.upstreamFailures = f.cfg.UpstreamAttempts // the list comes next, whoever could be followed
	case ctx.Err() == nil:
		f.storeFailed(err)
		if follower {
			f.retryDelay = f.cfg.FollowerRetryMax
		}
		f.sleepUntilFreshCopy(ctx, f.retryDelay/2+rand.N(f.retryDelay/2+1))
		f.retryDelay = min(2*f.retryDelay, f.cfg.RetryMax)
	}
}

// mayFollow reports whether a node may follow another at a time since its start.
// While it has nothing it asks others for some time only; while the store does not
// answer, Tick asks any of them.
func (f *Feed) mayFollow(uptime time.Duration) bool {
	if !f.complete.Load() {
		return uptime < f.cfg.BootstrapTimeout
	}
	return !f.noFreshCopy.Load()
}

// batchDelay returns the pause after events at a time since the start.
func (f *Feed) batchDelay(uptime time.Duration) time.Duration {
	if uptime < f.cfg.StartupPeriod {
		return f.cfg.StartupBatchDelay
	}
	return f.cfg.BatchDelay
}

// follow asks a node for its copy once. It reports false when the node is to be
// followed no longer.
func (f *Feed) follow(ctx context.Context, upstream copytree.Upstream) bool {
	limit := f.maxAge(upstream.Hops)
	wait := min(max(limit-f.Age(time.Now()), f.cfg.MinFollowWait), f.cfg.FollowWait)
	timeout := wait + f.cfg.PeerTimeout
	if !f.complete.Load() {
		wait, timeout = f.cfg.BootstrapWait, f.cfg.BootstrapRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state, err := f.peers.Follow(ctx, upstream.Address, f.catalog.Revision(), wait)
	if err != nil || state.Age > limit || state.Revision == 0 {
		f.logger.Info().Str("part", "feed").Str("upstream", upstream.Address).Int("hops", upstream.Hops).
			Dur("age", state.Age).Uint64("revision", state.Revision).AnErr("cause", err).Msg("upstream not followed")
		return false
	}
	f.storeFailing.Store(false)
	f.applyPeerState(state)
	return true
}

// maxAge is the age at which a copy behind a number of others is too old.
func (f *Feed) maxAge(hops int) time.Duration {
	return f.cfg.MaxAge + time.Duration(hops-1)*f.cfg.AgePerHop
}

// applyPeerState merges the state of a peer that is young enough.
func (f *Feed) applyPeerState(state PeerState) {
	now := time.Now()
	f.catalog.Merge(state.Items, state.Complete, state.Revision, now)
	if state.Complete {
		f.complete.Store(true)
	}
	f.setCurrent(now.Add(-state.Age))
	f.storeRecovered(now)
}

// Age returns the time since the catalog was known to be current.
func (f *Feed) Age(now time.Time) time.Duration {
	return now.Sub(*f.currentAsOf.Load())
}

// setCurrent notes that the catalog was current at a time. What is known of a later
// one stands.
func (f *Feed) setCurrent(at time.Time) {
	for {
		known := f.currentAsOf.Load()
		if at.Before(*known) || f.currentAsOf.CompareAndSwap(known, &at) {
			return
		}
	}
}

// read makes one call of the store and applies what it brings.
func (f *Feed) read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	if !f.complete.Load() || f.relist || f.listInsteadOfWatch {
		return f.list(ctx)
	}
	events, revision, err := f.store.Watch(ctx, f.catalog.Revision(), wait)
	f.countCall("watch", err)
	if err != nil {
		return false, err
	}
	f.storeResponded()
	f.catalog.Apply(events, revision, time.Now())
	f.listInsteadOfWatch = valueBytes(events) > f.cfg.MaxWatchBytes
	return len(events) > 0, nil
}

// list reads all items. While the events are crowded it reports whether there was
// something new, and the next call lists again.
func (f *Feed) list(ctx context.Context) (changed bool, err error) {
	items, revision, err := f.store.List(ctx)
	f.countCall("list", err)
	if err != nil {
		return false, err
	}
	f.storeResponded()
	known := f.catalog.Revision()
	f.catalog.Replace(items, revision, time.Now())
	f.complete.Store(true)
	f.relist = false
	f.listInsteadOfWatch = f.listInsteadOfWatch && revision > known
	return f.listInsteadOfWatch, nil
}

func valueBytes(items []catalog.Item) int {
	n := 0
	for _, item := range items {
		n += len(item.Value)
	}
	return n
}

func (f *Feed) countCall(call string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, ErrCompacted):
		result = "history_gone"
	case err != nil:
		result = "failed"
	}
	f.meter.StoreCalled(call, result)
}

func (f *Feed) storeResponded() {
	now := time.Now()
	f.storeFailing.Store(false)
	f.setCurrent(now)
	f.storeRecovered(now)
}

// storeRecovered notes that the store answers this node or one that it follows.
func (f *Feed) storeRecovered(now time.Time) {
	if f.noFreshCopy.Swap(false) {
		// All copies were old, by no fault of the nodes that hold them.
		f.peers.ClearEjections()
	}
	if f.catalog.MarkStoreAvailable(now) {
		f.logger.Info().Str("part", "feed").Msg("store answers again")
	}
}

func (f *Feed) storeFailed(err error) {
	f.storeFailing.Store(true)
	f.catalog.MarkStoreUnavailable()
	if !f.noFreshCopy.Swap(true) {
		f.logger.Warn().Str("part", "feed").Err(err).Msg("store does not answer")
	}
}

func (f *Feed) queryPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.PeerTimeout)
	defer cancel()
	known := f.catalog.Revision()
	state, err := f.peers.Query(ctx, known)
	if err != nil {
		f.logger.Debug().Str("part", "feed").Err(err).Msg("peer gave no state")
		return
	}
	if state.Revision > 0 && state.Age <= f.cfg.MaxAge {
		// The store answers others, so its records end for a reason.
		f.applyPeerState(state)
		return
	}
	if state.Revision > known {
		f.catalog.Merge(state.Items, state.Complete, state.Revision, time.Now())
		if state.Complete {
			f.complete.Store(true)
		}
		f.logger.Info().Str("part", "feed").Uint64("revision", state.Revision).Int("items", len(state.Items)).
			Msg("state taken from a peer")
	}
}

// RunMaintenance looks at suspect servers, and asks peers while the store does not
// answer, until the context ends.
func (f *Feed) RunMaintenance(ctx context.Context) {
	var lastQuery time.Time
	for f.sleep(ctx, f.cfg.TickInterval) {
		now := time.Now()
		f.catalog.ExpireSuspects(now)
		if f.storeFailing.Load() && now.Sub(lastQuery) >= f.cfg.PeerQueryInterval {
			lastQuery = now
			f.queryPeer(ctx)
		}
	}
}

// sleepUntilFreshCopy sleeps for a time, but not after a young copy was found.
func (f *Feed) sleepUntilFreshCopy(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); f.noFreshCopy.Load() && time.Now().Before(end); {
		if !f.sleep(ctx, min(f.cfg.RetryBase, time.Until(end))) {
			return
		}
	}
}

// sleep reports false when the context ended.
func (f *Feed) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
