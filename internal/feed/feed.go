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
	// List returns all items and the version at which a watch has to start to miss no
	// event. With an error, the version holds the era of the response, 0 if there is none.
	List(ctx context.Context) ([]catalog.Item, catalog.Version, error)
	// Watch returns the events after a version and the start version of the next watch.
	// If that is of another era, the events don't continue the version. With an error, the
	// version holds the era of the response, 0 if there is none.
	Watch(ctx context.Context, after catalog.Version, wait time.Duration) ([]catalog.Item, catalog.Version, error)
}

// PeerState is a peer's copy of the store, limited to changes after a version.
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
	// Follow requests the changes after a version from a node. The node responds as
	// soon as it has a newer version, or after the wait.
	Follow(ctx context.Context, address string, version catalog.Version, wait time.Duration) (PeerState, error)
	// Query requests the changes after a version without a wait. Successive queries
	// alternate between the usual upstream and a random node.
	Query(ctx context.Context, version catalog.Version) (PeerState, error)
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
	// currentAsOf is the latest time at which the catalog was known to be current in its
	// era.
	currentAsOf atomic.Pointer[eraTime]
	// proven is what is proven about the catalog's age; nil if nothing is.
	proven atomic.Pointer[proof]
	// newestEra is the newest era of the store that this node knows of. It is newer than
	// the catalog's until the store was listed or a peer's copy was merged.
	newestEra atomic.Uint64
	// complete reports that the catalog holds all items of its version, so that a
	// watch or an upstream can continue from that version.
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
	f.currentAsOf.Store(&eraTime{}) // an empty catalog has the maximum age
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
	case errors.Is(err, ErrCompacted) || errors.Is(err, errNewerEra):
		f.logger.Info().Str("part", "feed").Uint64("era", f.newestEra.Load()).Uint64("revision", f.catalog.Version().Revision).
			AnErr("cause", err).Msg("store history gone; listing all items")
		f.relist = true
		f.upstreamFailures = f.cfg.UpstreamAttempts // list next instead of trying an upstream first
	case errors.Is(err, errOlderEra):
		// The store responds, so the node goes on without a grace period for its records.
		// It asks peers meanwhile, in case the store keeps responding so.
		f.storeFailing.Store(true)
		f.sleep(ctx, f.retryDelay/2+rand.N(f.retryDelay/2+1))
		f.retryDelay = min(2*f.retryDelay, f.cfg.RetryMax)
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
	state, err := f.peers.Follow(ctx, upstream.Address, f.catalog.Version(), wait)
	if err == nil && state.Age <= limit && !state.Version.IsZero() {
		err = f.applyPeerState(state, began)
		if err == nil {
			f.storeFailing.Store(false)
			return true
		}
	}
	f.logger.Info().Str("part", "feed").Str("upstream", upstream.Address).Int("hops", upstream.Hops).
		Dur("age", state.Age).Uint64("era", state.Version.Era).Uint64("revision", state.Version.Revision).AnErr("cause", err).Msg("upstream not followed")
	return false
}

// maxAge returns the maximum age of a copy that is a number of hops from the store.
func (f *Feed) maxAge(hops int) time.Duration {
	return f.cfg.MaxAge + time.Duration(hops-1)*f.cfg.AgePerHop
}

// applyPeerState merges a peer's state whose age is within its limit. began is the
// reading of the clock at which the request to the peer began.
func (f *Feed) applyPeerState(state PeerState, began time.Duration) error {
	now := time.Now()
	if err := f.mergePeerState(state, began, now); err != nil {
		return err
	}
	f.setCurrent(state.Version.Era, now.Add(-state.Age))
	f.storeRecovered(now)
	return nil
}

// Age returns the time since the catalog was known to be current.
func (f *Feed) Age(now time.Time) time.Duration {
	return now.Sub(f.currentAsOf.Load().at)
}

// setCurrent records that the catalog was current at a time in an era, unless a later time
// is already recorded.
func (f *Feed) setCurrent(era uint64, at time.Time) {
	current := &eraTime{era: era, at: at}
	for {
		known := f.currentAsOf.Load()
		if era < known.era || era == known.era && at.Before(known.at) || f.currentAsOf.CompareAndSwap(known, current) {
			return
		}
	}
}

// read makes one store call and applies the result.
func (f *Feed) read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	if !f.complete.Load() || f.relist || f.listInsteadOfWatch {
		return f.list(ctx)
	}
	began, known := f.cfg.Clock(), f.catalog.Version()
	events, version, err := f.store.Watch(ctx, known, wait)
	answeredAt := time.Now()
	if err = f.checkEra("watch", version, err); err == nil && version.Era > known.Era {
		err = errNewerEra // the events continue nothing that the catalog holds
	}
	if len(events) == 0 {
		// The watch covers all keys, so a newer revision without an event means that the
		// watch missed one. The next watch starts where this one did.
		version = known
	}
	if err == nil && !f.catalog.Apply(events, version, answeredAt) {
		err = f.olderEra("watch", version)
	}
	f.countCall("watch", err)
	if err != nil {
		return false, err
	}
	f.storeResponded(version.Era, began, answeredAt)
	f.listInsteadOfWatch = valueBytes(events) > f.cfg.MaxWatchBytes
	return len(events) > 0, nil
}

// list reads all items. After large events it reports whether the store's revision
// advanced; if so, the next call lists again.
func (f *Feed) list(ctx context.Context) (changed bool, err error) {
	began := f.cfg.Clock()
	items, version, err := f.store.List(ctx)
	known, answeredAt := f.catalog.Version(), time.Now()
	if err = f.checkEra("list", version, err); err == nil && !f.catalog.Replace(items, version, answeredAt) {
		err = f.olderEra("list", version)
	}
	f.countCall("list", err)
	if err != nil {
		return false, err
	}
	f.complete.Store(true)
	f.storeResponded(version.Era, began, answeredAt)
	f.relist = false
	f.listInsteadOfWatch = f.listInsteadOfWatch && version.IsNewerThan(known)
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
	case errors.Is(err, errNewerEra):
		result = "newer_era"
	case errors.Is(err, errOlderEra):
		result = resultOlderEra
	case err != nil:
		result = "failed"
	}
	f.meter.StoreCalled(call, result)
}

// storeResponded records a successful store call whose result has been applied: a peer
// that asks in between must not see the new age with the old revision. began is the
// reading of the clock at which the call began; the answer reflects all changes before
// it. answeredAt is the time of the answer; applying it may have taken seconds.
func (f *Feed) storeResponded(era uint64, began time.Duration, answeredAt time.Time) {
	f.storeFailing.Store(false)
	f.setProven(era, began)
	f.setCurrent(era, answeredAt)
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
	began, known := f.cfg.Clock(), f.catalog.Version()
	state, err := f.peers.Query(ctx, known)
	if err != nil {
		f.logger.Debug().Str("part", "feed").Err(err).Msg("peer query failed")
		return
	}
	switch {
	case state.Version.IsZero():
		return
	case state.Age <= f.cfg.MaxAge:
		// The store responds to other nodes, so a deleted record is a real deletion.
		err = f.applyPeerState(state, began)
	default:
		err = f.mergePeerState(state, began, time.Now())
	}
	if err == nil && state.Age > f.cfg.MaxAge && state.Version.IsNewerThan(known) {
		f.logger.Info().Str("part", "feed").Uint64("era", state.Version.Era).Uint64("revision", state.Version.Revision).Int("items", len(state.Items)).
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
