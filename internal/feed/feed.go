// Package feed keeps a node's catalog up to date: it lists and watches the
// store, and asks other nodes while the store does not answer this one.
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

// Peers are the other nodes' copies of the store.
type Peers interface {
	// Query asks one peer for what it knows beyond a revision.
	Query(ctx context.Context, revision uint64) (items []catalog.Item, keys []string, at uint64, err error)
}

// Config tunes a Feed. Zero fields take their defaults.
type Config struct {
	// Wait is how long a watch waits for an event. Default 3 s: a watch may go
	// deaf when the store forgets its history, and only the next one shows it.
	Wait time.Duration
	// Gather is the pause after events before the next watch, so that a burst
	// of changes costs few calls. Default 350 ms; it delays every change, of
	// which the strictest must be in force within 2 s.
	Gather time.Duration
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

const (
	defaultWait         = 3 * time.Second
	defaultGather       = 350 * time.Millisecond
	defaultRetryBase    = 100 * time.Millisecond
	defaultRetryMax     = 800 * time.Millisecond
	defaultPeerInterval = 400 * time.Millisecond
	defaultPeerTimeout  = 500 * time.Millisecond
	defaultTickInterval = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	fill(&c.Wait, defaultWait)
	fill(&c.Gather, defaultGather)
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
}

// New returns a feed.
func New(cfg Config, store Store, peers Peers, c *catalog.Catalog, meter Meter, logger *log.Logger) *Feed {
	return &Feed{cfg: cfg.withDefaults(), store: store, peers: peers, catalog: c, meter: meter, logger: logger}
}

// Run reads until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var revision uint64 // 0 until a list was read
	pause := f.cfg.RetryBase
	for ctx.Err() == nil {
		next, changed, err := f.read(ctx, revision)
		switch {
		case err == nil:
			f.answered()
			revision, pause = next, f.cfg.RetryBase
			if changed {
				f.sleep(ctx, f.cfg.Gather)
			}
		case errors.Is(err, ErrHistoryGone):
			f.logger.Info().Str("part", "feed").Uint64("revision", revision).Msg("history gone, listing anew")
			revision = 0
		case ctx.Err() != nil:
			return
		default:
			f.failed(err)
			f.sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, f.cfg.RetryMax)
		}
	}
}

// read makes one call and applies what it brings.
func (f *Feed) read(ctx context.Context, revision uint64) (next uint64, changed bool, err error) {
	if revision == 0 {
		items, at, err := f.store.List(ctx)
		f.count("list", err)
		if err != nil {
			return 0, false, err
		}
		f.answered()
		f.catalog.Replace(items, at, time.Now())
		return at, false, nil
	}
	wait := f.cfg.Wait
	if f.lost.Load() {
		wait = probeWait
	}
	events, at, err := f.store.Watch(ctx, revision, wait)
	f.count("watch", err)
	if err != nil {
		return revision, false, err
	}
	f.answered()
	now := time.Now()
	f.catalog.Apply(events, at, now)
	f.catalog.Tick(now)
	return max(at, revision), len(events) > 0, nil
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
	known := f.catalog.View().Revision
	items, keys, at, err := f.peers.Query(ctx, known)
	if err != nil {
		f.logger.Debug().Str("part", "feed").Err(err).Msg("peer gave no state")
		return
	}
	if at > known {
		f.catalog.Merge(items, keys, at, time.Now())
		f.logger.Info().Str("part", "feed").Uint64("revision", at).Int("items", len(items)).Msg("state taken from a peer")
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
