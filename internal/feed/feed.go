// Package feed keeps a node's catalog up to date. A few nodes of the fleet, the
// readers, list and watch the store. The other nodes, the followers, replicate the
// copy of an upstream node and read the store only when they find no copy that is
// recent enough. While the store is unavailable, a node queries arbitrary peers.
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

// ErrCompacted reports that the store discarded events after the start revision of
// a watch.
var ErrCompacted = eris.New("store compacted the events after the requested revision")

// Store is the data source of a Feed.
type Store interface {
	// List returns all items and the revision at which a watch has to start to miss no
	// event.
	List(ctx context.Context) ([]catalog.Item, uint64, error)
	// Watch returns the events after a revision and the start revision of the next
	// watch.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Item, uint64, error)
}

// PeerState is a peer's copy of the store, limited to changes after a revision.
type PeerState struct {
	catalog.Changes
	// Age is the time since the peer's copy was known to be current. It is an estimate
	// that serves to choose an upstream.
	Age time.Duration
	// Proof is what the peer proves about its copy; nil if it proves nothing.
	Proof *PeerProof
}

// Peers gives access to the copies of other nodes.
type Peers interface {
	// Upstream returns the node that this node follows, and false when this node has
	// to read the store itself.
	Upstream(now time.Time) (copytree.Upstream, bool)
	// Eject excludes a node from the upstreams until a time.
	Eject(address string, until time.Time)
	// ClearEjections makes all ejected nodes eligible again.
	ClearEjections()
	// Follow requests the changes after a revision from a node. The node responds as
	// soon as it has a newer revision, or after the wait.
	Follow(ctx context.Context, address string, revision uint64, wait time.Duration) (PeerState, error)
	// Query requests the changes after a revision without a wait. Successive queries
	// alternate between the usual upstream and a random node.
	Query(ctx context.Context, revision uint64) (PeerState, error)
}

// probeWait is the wait of a watch after a failed call, and of a watch by which a
// follower renews its copy. The wait is minimal, so that an unresponsive store takes
// up no more than the timeout of the call itself.
const probeWait = time.Millisecond

// Meter counts store calls by result.
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
	// storeFailing reports that this node's last store call failed and that it has not
	// followed an upstream successfully since.
	storeFailing atomic.Bool
	// noFreshCopy reports that a store call failed and that no recent copy was found
	// since.
	noFreshCopy atomic.Bool
	// currentAsOf is the latest time at which the catalog was known to be current. It
	// includes a monotonic clock reading, since the wall clock may jump.
	currentAsOf atomic.Pointer[time.Time]
	// provenAsOf is the latest reading of cfg.Clock for which it is proven that the
	// catalog holds every change made before it; 0 if there is none.
	provenAsOf atomic.Int64
	// complete reports that the catalog holds all items of its revision, so that a
	// watch or an upstream can continue from that revision.
	complete atomic.Bool
	// relist reports that the store must be listed before the next watch. Only Run
	// accesses relist and the fields below.
	relist bool
	// upstreamFailures counts consecutive upstream failures.
	upstreamFailures int
	// retryDelay is the delay after the next failed store call.
	retryDelay time.Duration
	// listInsteadOfWatch reports that the last events were large. A watch returns every
	// version of a key, a list only the latest.
	listInsteadOfWatch bool
}

// New returns a feed.
func New(cfg Config, store Store, peers Peers, c *catalog.Catalog, meter Meter, logger *log.Logger) *Feed {
	f := &Feed{cfg: cfg.withDefaults(), store: store, peers: peers, catalog: c, meter: meter, logger: logger}
	f.currentAsOf.Store(&time.Time{}) // an empty catalog has the maximum age
	return f
}

// Run follows an upstream or reads the store until the context ends.
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

// followOnce requests the copy of the upstream once, and ejects the upstream when the
// request fails. A node without a complete copy retries after a short delay instead.
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

// readOnce makes one store call and then sleeps for the batch delay or the backoff.
// A follower calls it only to renew its copy.
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
		f.logger.Info().Str("part", "feed").Uint64("revision", f.catalog.Revision()).Msg("store history compacted; listing all items")
		f.relist = true
		f.upstreamFailures = f.cfg.UpstreamAttempts // list next instead of trying an upstream first
	case ctx.Err() == nil:
		f.storeFailed(err)
		if follower {
			f.retryDelay = f.cfg.FollowerRetryMax
		}
		f.sleepUntilFreshCopy(ctx, f.retryDelay/2+rand.N(f.retryDelay/2+1))
		f.retryDelay = min(2*f.retryDelay, f.cfg.RetryMax)
	}
}

// mayFollow reports whether the node may follow an upstream, given the time since its
// start. A node without a complete copy tries upstreams only during BootstrapTimeout.
// While there is no recent copy, RunMaintenance queries peers instead.
func (f *Feed) mayFollow(uptime time.Duration) bool {
	if !f.complete.Load() {
		return uptime < f.cfg.BootstrapTimeout
	}
	return !f.noFreshCopy.Load()
}

// batchDelay returns the delay after events, given the time since the start.
func (f *Feed) batchDelay(uptime time.Duration) time.Duration {
	if uptime < f.cfg.StartupPeriod {
		return f.cfg.StartupBatchDelay
	}
	return f.cfg.BatchDelay
}

// follow requests a copy from an upstream once. It reports false when the upstream did
// not supply a recent copy.
func (f *Feed) follow(ctx context.Context, upstream copytree.Upstream) bool {
	limit := f.maxAge(upstream.Hops)
	wait := min(max(limit-f.Age(time.Now()), f.cfg.MinFollowWait), f.cfg.FollowWait)
	timeout := wait + f.cfg.PeerTimeout
	if !f.complete.Load() {
		wait, timeout = f.cfg.BootstrapWait, f.cfg.BootstrapRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := f.cfg.Clock()
	state, err := f.peers.Follow(ctx, upstream.Address, f.catalog.Revision(), wait)
	if err != nil || state.Age > limit || state.Revision == 0 {
		f.logger.Info().Str("part", "feed").Str("upstream", upstream.Address).Int("hops", upstream.Hops).
			Dur("age", state.Age).Uint64("revision", state.Revision).AnErr("cause", err).Msg("upstream not followed")
		return false
	}
	f.storeFailing.Store(false)
	f.applyPeerState(state, began)
	return true
}

// maxAge returns the maximum age of a copy that is a number of hops from the store.
func (f *Feed) maxAge(hops int) time.Duration {
	return f.cfg.MaxAge + time.Duration(hops-1)*f.cfg.AgePerHop
}

// applyPeerState merges a peer's state whose age is within its limit. began is the
// reading of the clock at which the request to the peer began.
func (f *Feed) applyPeerState(state PeerState, began time.Duration) {
	now := time.Now()
	f.mergePeerState(state, began, now)
	f.setCurrent(now.Add(-state.Age))
	f.storeRecovered(now)
}

// mergePeerState merges a peer's state of any age. What the peer proves counts from the
// beginning of the request, since the time that the answer took to arrive is unknown.
func (f *Feed) mergePeerState(state PeerState, began time.Duration, now time.Time) {
	f.catalog.Merge(state.Changes, now)
	if state.Complete {
		f.complete.Store(true)
	}
	if state.Proof != nil {
		f.setProven(began + state.Proof.Held - state.Proof.Age)
	}
}

// Age returns the time since the catalog was known to be current.
func (f *Feed) Age(now time.Time) time.Duration {
	return now.Sub(*f.currentAsOf.Load())
}

// setCurrent records that the catalog was current at a time, unless a later time is
// already recorded.
func (f *Feed) setCurrent(at time.Time) {
	for {
		known := f.currentAsOf.Load()
		if at.Before(*known) || f.currentAsOf.CompareAndSwap(known, &at) {
			return
		}
	}
}

// read makes one store call and applies the result.
func (f *Feed) read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	if !f.complete.Load() || f.relist || f.listInsteadOfWatch {
		return f.list(ctx)
	}
	began, known := f.cfg.Clock(), f.catalog.Revision()
	events, revision, err := f.store.Watch(ctx, known, wait)
	f.countCall("watch", err)
	if err != nil {
		return false, err
	}
	if len(events) == 0 {
		// The watch covers all keys, so a newer revision without an event means that the
		// watch missed one. The next watch starts where this one did.
		revision = known
	}
	answeredAt := time.Now()
	f.catalog.Apply(events, revision, answeredAt)
	f.storeResponded(began, answeredAt)
	f.listInsteadOfWatch = valueBytes(events) > f.cfg.MaxWatchBytes
	return len(events) > 0, nil
}

// list reads all items. After large events it reports whether the store's revision
// advanced; if so, the next call lists again.
func (f *Feed) list(ctx context.Context) (changed bool, err error) {
	began := f.cfg.Clock()
	items, revision, err := f.store.List(ctx)
	f.countCall("list", err)
	if err != nil {
		return false, err
	}
	known, answeredAt := f.catalog.Revision(), time.Now()
	f.catalog.Replace(items, revision, answeredAt)
	f.complete.Store(true)
	f.storeResponded(began, answeredAt)
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

// storeResponded records a successful store call whose result has been applied: a peer
// that asks in between must not see the new age with the old revision. began is the
// reading of the clock at which the call began; the answer reflects all changes before
// it. answeredAt is the time of the answer; applying it may have taken seconds.
func (f *Feed) storeResponded(began time.Duration, answeredAt time.Time) {
	f.storeFailing.Store(false)
	f.setProven(began)
	f.setCurrent(answeredAt)
	f.storeRecovered(time.Now())
}

// storeRecovered records that the store responds to this node or to its upstream.
func (f *Feed) storeRecovered(now time.Time) {
	if f.noFreshCopy.Swap(false) {
		// During the outage every copy aged, so the ejections say nothing about the
		// ejected nodes.
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
	began, known := f.cfg.Clock(), f.catalog.Revision()
	state, err := f.peers.Query(ctx, known)
	if err != nil {
		f.logger.Debug().Str("part", "feed").Err(err).Msg("peer query failed")
		return
	}
	if state.Revision > 0 && state.Age <= f.cfg.MaxAge {
		// The store responds to other nodes, so a deleted record is a real deletion.
		f.applyPeerState(state, began)
		return
	}
	if state.Revision > 0 {
		f.mergePeerState(state, began, time.Now())
	}
	if state.Revision > known {
		f.logger.Info().Str("part", "feed").Uint64("revision", state.Revision).Int("items", len(state.Items)).
			Msg("state taken from a peer")
	}
}

// RunMaintenance removes expired suspect servers, and queries peers while the store is
// unavailable, until the context ends.
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

// sleepUntilFreshCopy sleeps until a recent copy is found, for at most d.
func (f *Feed) sleepUntilFreshCopy(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); f.noFreshCopy.Load() && time.Now().Before(end); {
		if !f.sleep(ctx, min(f.cfg.RetryBase, time.Until(end))) {
			return
		}
	}
}

// sleep pauses for d. It reports false when the context ended first.
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
