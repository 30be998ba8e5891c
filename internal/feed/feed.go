// Package feed keeps a node's catalog up to date. A few nodes of each data
// centre list and watch the store; the others follow their copy, and read the
// store themselves when that copy gets old. While the store does not answer, a
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
)

// ErrHistoryGone reports that the store no longer holds the events after the
// revision that a watch named.
var ErrHistoryGone = eris.New("the store's history after this revision is gone")

// Store is read by a Feed.
type Store interface {
	// List returns all items and the revision from which a watch misses nothing.
	List(ctx context.Context) ([]catalog.Item, uint64, error)
	// Watch returns the events after a revision and the revision to go on from.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Item, uint64, error)
}

// State is what a peer knows of the store beyond a revision.
type State struct {
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
	// Leader returns the node whose copy this one follows, and false when this
	// node is to read the store itself.
	Leader(now time.Time) (address string, ok bool)
	// Avoid keeps a node from being the leader until a time.
	Avoid(address string, until time.Time)
	// Follow asks a node for what it knows beyond a revision, as soon as there is
	// something or the wait is over.
	Follow(ctx context.Context, address string, revision uint64, wait time.Duration) (State, error)
	// Query asks any node at once.
	Query(ctx context.Context, revision uint64) (State, error)
}

// Config tunes a Feed. Zero fields take their defaults.
type Config struct {
	// Wait is how long a watch waits for an event. Default 600 ms: the end of a
	// watch shows followers that the store still answers their leader, and that
	// the watch did not go deaf when the store forgot its history.
	Wait time.Duration
	// FollowWait is how long a leader waits for something newer. Default 500 ms.
	FollowWait time.Duration
	// MaxAge is the age of a leader's copy at which a follower reads the store
	// itself. Default 1250 ms: Wait, Gather and a slow store's answer. Together
	// with FollowWait it stays below the strictest bound of a change, 2 s.
	MaxAge time.Duration
	// DirectFor is how long a follower whose leader failed reads the store, and
	// AvoidLeader how long it passes over that leader. Defaults 2 s and 10 s.
	DirectFor, AvoidLeader time.Duration
	// Gather is the pause after events before the next watch, so that a burst
	// of changes costs few calls. Default 350 ms; it delays every change, of
	// which the strictest must be in force within 2 s.
	Gather time.Duration
	// StartGather is that pause within StartFor of the start. Defaults 1 s and 2 s:
	// when all nodes start, servers register one by one, and until the first of a
	// data centre has, each of its nodes reads the store itself.
	StartGather, StartFor time.Duration
	// CrowdedBytes is the size of the events of one watch beyond which lists take
	// the place of watches until nothing new comes. Default 256 KiB, a fifth of a
	// second on a link of 10 Mbit/s.
	CrowdedBytes int
	// RetryBase and RetryMax bound the pause after a failed call. Defaults
	// 100 ms and 800 ms, so that a store that is back is noticed within a second.
	RetryBase, RetryMax time.Duration
	// PeerInterval is the time between queries of peers while the store does
	// not answer. Default 400 ms.
	PeerInterval time.Duration
	// PeerTimeout bounds one query of a peer. Default 500 ms.
	PeerTimeout time.Duration
	// TickInterval is how often suspect servers are looked at. Default 250 ms.
	TickInterval time.Duration
}

// probeWait is the wait of a watch after a failed call. It returns at once, so
// that a store that is silent costs no more than a call's own timeout.
const probeWait = time.Millisecond

const defaultCrowdedBytes = 256 << 10

const (
	defaultWait         = 600 * time.Millisecond
	defaultFollowWait   = 500 * time.Millisecond
	defaultMaxAge       = 1250 * time.Millisecond
	defaultDirectFor    = 2 * time.Second
	defaultAvoidLeader  = 10 * time.Second
	defaultGather       = 350 * time.Millisecond
	defaultStartGather  = time.Second
	defaultStartFor     = 2 * time.Second
	defaultRetryBase    = 100 * time.Millisecond
	defaultRetryMax     = 800 * time.Millisecond
	defaultPeerInterval = 400 * time.Millisecond
	defaultPeerTimeout  = 500 * time.Millisecond
	defaultTickInterval = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.CrowdedBytes <= 0 {
		c.CrowdedBytes = defaultCrowdedBytes
	}
	fill(&c.Wait, defaultWait)
	fill(&c.FollowWait, defaultFollowWait)
	fill(&c.MaxAge, defaultMaxAge)
	fill(&c.DirectFor, defaultDirectFor)
	fill(&c.AvoidLeader, defaultAvoidLeader)
	fill(&c.Gather, defaultGather)
	fill(&c.StartGather, defaultStartGather)
	fill(&c.StartFor, defaultStartFor)
	fill(&c.RetryBase, defaultRetryBase)
	fill(&c.RetryMax, defaultRetryMax)
	fill(&c.PeerInterval, defaultPeerInterval)
	fill(&c.PeerTimeout, defaultPeerTimeout)
	fill(&c.TickInterval, defaultTickInterval)
	return c
}

func fill(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

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
	// lost reports that the last call of the store failed.
	lost atomic.Bool
	// currentAt is when the catalog was last known to be current. It holds the
	// steady clock's reading as well: the time of day may jump.
	currentAt atomic.Pointer[time.Time]
	// listed reports that the catalog may be watched from its revision; only Run
	// touches it, and crowded.
	listed bool
	// crowded reports that the last events were large: a watch brings every
	// version of a key, a list only the last.
	crowded bool
}

// New returns a feed.
func New(cfg Config, store Store, peers Peers, c *catalog.Catalog, meter Meter, logger *log.Logger) *Feed {
	f := &Feed{cfg: cfg.withDefaults(), store: store, peers: peers, catalog: c, meter: meter, logger: logger}
	f.currentAt.Store(&time.Time{}) // a node that has read nothing is as old as can be
	return f
}

// Run reads until the context ends.
func (f *Feed) Run(ctx context.Context) {
	pause := f.cfg.RetryBase
	var directUntil time.Time
	started := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if leader, ok := f.peers.Leader(now); ok && f.listed && !f.lost.Load() && !now.Before(directUntil) {
			if !f.follow(ctx, leader) {
				f.peers.Avoid(leader, now.Add(f.cfg.AvoidLeader))
				directUntil = now.Add(f.cfg.DirectFor)
			}
			continue
		}
		changed, err := f.read(ctx)
		switch {
		case err == nil:
			pause = f.cfg.RetryBase
			if changed {
				f.sleep(ctx, f.gather(now.Sub(started)))
			}
		case errors.Is(err, ErrHistoryGone):
			f.logger.Info().Str("part", "feed").Uint64("revision", f.catalog.Revision()).Msg("history gone, listing anew")
			f.listed = false
		case ctx.Err() != nil:
			return
		default:
			f.failed(err)
			f.sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, f.cfg.RetryMax)
		}
	}
}

// gather returns the pause after events at a time since the start.
func (f *Feed) gather(running time.Duration) time.Duration {
	if running < f.cfg.StartFor {
		return f.cfg.StartGather
	}
	return f.cfg.Gather
}

// follow asks the leader once. It reports false when this node is to read the
// store itself.
func (f *Feed) follow(ctx context.Context, leader string) bool {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.FollowWait+f.cfg.PeerTimeout)
	defer cancel()
	state, err := f.peers.Follow(ctx, leader, f.catalog.Revision(), f.cfg.FollowWait)
	now := time.Now()
	if err != nil || state.Age > f.cfg.MaxAge {
		f.logger.Info().Str("part", "feed").Str("leader", leader).Dur("age", state.Age).AnErr("cause", err).
			Msg("leader not followed, reading the store")
		return false
	}
	f.catalog.Merge(state.Items, state.Complete, state.Revision, now)
	f.setCurrent(now.Add(-state.Age))
	return true
}

// Age returns the time since the catalog was known to be current.
func (f *Feed) Age(now time.Time) time.Duration {
	return now.Sub(*f.currentAt.Load())
}

func (f *Feed) setCurrent(at time.Time) {
	f.currentAt.Store(&at)
}

// read makes one call of the store and applies what it brings.
func (f *Feed) read(ctx context.Context) (changed bool, err error) {
	if !f.listed || f.crowded {
		return f.list(ctx)
	}
	wait := f.cfg.Wait
	if f.lost.Load() {
		wait = probeWait
	}
	events, at, err := f.store.Watch(ctx, f.catalog.Revision(), wait)
	f.count("watch", err)
	if err != nil {
		return false, err
	}
	f.answered()
	f.catalog.Apply(events, at, time.Now())
	f.crowded = bytesOf(events) > f.cfg.CrowdedBytes
	return len(events) > 0, nil
}

// list reads all items. While the events are crowded it reports whether there was
// something new, and the next call lists again.
func (f *Feed) list(ctx context.Context) (changed bool, err error) {
	items, at, err := f.store.List(ctx)
	f.count("list", err)
	if err != nil {
		return false, err
	}
	f.answered()
	known := f.catalog.Revision()
	f.catalog.Replace(items, at, time.Now())
	f.listed = true
	f.crowded = f.crowded && at > known
	return f.crowded, nil
}

func bytesOf(items []catalog.Item) int {
	n := 0
	for _, item := range items {
		n += len(item.Value)
	}
	return n
}

func (f *Feed) count(call string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, ErrHistoryGone):
		result = "history_gone"
	case err != nil:
		result = "failed"
	}
	f.meter.StoreCalled(call, result)
}

func (f *Feed) answered() {
	f.lost.Store(false)
	f.setCurrent(time.Now())
	if f.catalog.StoreBack(time.Now()) {
		f.logger.Info().Str("part", "feed").Msg("store answers again")
	}
}

func (f *Feed) failed(err error) {
	f.catalog.StoreLost()
	if !f.lost.Swap(true) {
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
	if state.Revision > known {
		f.catalog.Merge(state.Items, state.Complete, state.Revision, time.Now())
		f.logger.Info().Str("part", "feed").Uint64("revision", state.Revision).Int("items", len(state.Items)).
			Msg("state taken from a peer")
	}
}

// Tick looks at suspect servers, and asks peers while the store does not
// answer, until the context ends.
func (f *Feed) Tick(ctx context.Context) {
	var asked time.Time
	for f.sleep(ctx, f.cfg.TickInterval) {
		now := time.Now()
		f.catalog.Tick(now)
		if f.lost.Load() && now.Sub(asked) >= f.cfg.PeerInterval {
			asked = now
			f.queryPeer(ctx)
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
