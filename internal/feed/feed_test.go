package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/copytree"
	"boragefall/internal/feed"
	"boragefall/internal/telemetry"
)

// anyItemDecoder decodes any item to an evacuation record, which the catalog stores.
type anyItemDecoder struct{}

func (anyItemDecoder) Decode(catalog.Item) (catalog.Record, error) {
	return catalog.Record{Subject: catalog.SubjectEvacuation, DataCentre: "north"}, nil
}

// fakeStore is a store whose failures are set by a test.
type fakeStore struct {
	mu    sync.Mutex
	items []catalog.Item
	// down makes calls fail. compacted makes watches return ErrCompacted until the next
	// List.
	down, compacted bool
	// missesEvents makes one watch wait to its end and return nothing, even if compacted
	// is set.
	missesEvents bool
	lists        int
	watches      int
	// failingEra is the era that failed calls state.
	failingEra uint64
	// valueBytes is the size of each item, bytesPerSecond the bandwidth of the link.
	valueBytes, bytesPerSecond int
}

// transfer returns items with values of valueBytes after the time that the link needs for
// them. If bytesPerSecond is 0, it returns them unchanged at once.
func (s *fakeStore) transfer(items []catalog.Item) []catalog.Item {
	s.mu.Lock()
	value, perSecond := s.valueBytes, s.bytesPerSecond
	s.mu.Unlock()
	if perSecond == 0 {
		return items
	}
	out := make([]catalog.Item, 0, len(items))
	for _, item := range items {
		item.Value = make([]byte, value)
		out = append(out, item)
	}
	time.Sleep(time.Duration(len(items)) * time.Duration(value) * time.Second / time.Duration(perSecond))
	return out
}

// at returns a version of a store that never was restored.
func at(revision uint64) catalog.Version {
	return catalog.Version{Revision: revision}
}

var errDown = errors.New("down")

func (s *fakeStore) put(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.items[len(s.items)-1].Version.Era
	s.items = append(s.items, catalog.Item{Key: "k", Version: catalog.Version{Era: era, Revision: revision}})
}

// restore restores the store at a revision of the next era.
func (s *fakeStore) restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.items[len(s.items)-1].Version.Era + 1
	s.items = []catalog.Item{{Key: "k", Version: catalog.Version{Era: era, Revision: revision}}}
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) List(context.Context) ([]catalog.Item, catalog.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return nil, catalog.Version{}, errDown
	}
	s.compacted = false
	last := s.items[len(s.items)-1:]
	s.mu.Unlock()
	defer s.mu.Lock()
	return s.transfer(last), last[0].Version, nil
}

func (s *fakeStore) Watch(ctx context.Context, after catalog.Version, wait time.Duration) ([]catalog.Item, catalog.Version, error) {
	s.update(func() { s.watches++ })
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		last := s.items[len(s.items)-1]
		down, compacted, missesEvents, failingEra := s.down, s.compacted, s.missesEvents, s.failingEra
		s.mu.Unlock()
		switch {
		case down:
			return nil, catalog.Version{Era: failingEra}, errDown
		case after.Revision > last.Version.Revision:
			return nil, catalog.Version{Era: last.Version.Era}, feed.ErrCompacted // after a restore
		case compacted && !missesEvents:
			return nil, catalog.Version{}, feed.ErrCompacted
		case !missesEvents && last.Version.Revision > after.Revision:
			return s.transfer(s.since(after)), last.Version, nil
		case !time.Now().Before(end) || ctx.Err() != nil:
			s.update(func() { s.missesEvents = false })
			return nil, last.Version, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *fakeStore) since(after catalog.Version) []catalog.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []catalog.Item
	for _, item := range s.items {
		if item.Version.Revision > after.Revision {
			out = append(out, item)
		}
	}
	return out
}

// fakePeers is a set of peers whose state is set by a test.
type fakePeers struct {
	mu sync.Mutex
	// revision is the revision of every peer's copy, in an era; 0 makes queries fail.
	era, revision uint64
	// hasUpstream reports that there is an upstream; age is the age of its copy.
	hasUpstream bool
	age         time.Duration
	// unresponsive makes requests to the upstream time out.
	unresponsive bool
	// ignoreEjection keeps the upstream eligible while it is ejected.
	ignoreEjection bool
	ejectedUntil   time.Time
	followCalls    int
}

func (p *fakePeers) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *fakePeers) state() (feed.PeerState, error) {
	if p.revision == 0 {
		return feed.PeerState{}, errDown
	}
	version := catalog.Version{Era: p.era, Revision: p.revision}
	return feed.PeerState{Changes: catalog.Changes{Items: []catalog.Item{{Key: "k", Version: version}}, Complete: true, Version: version}, Age: p.age}, nil
}

func (p *fakePeers) Query(context.Context, catalog.Version) (feed.PeerState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}

func (p *fakePeers) Upstream(now time.Time) (copytree.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return copytree.Upstream{Address: "leader", Hops: 1}, p.hasUpstream && (p.ignoreEjection || !now.Before(p.ejectedUntil))
}

func (p *fakePeers) Eject(_ string, until time.Time) {
	p.update(func() { p.ejectedUntil = until })
}

func (p *fakePeers) ClearEjections() {
	p.update(func() { p.ejectedUntil = time.Time{} })
}

func (p *fakePeers) Follow(ctx context.Context, _ string, version catalog.Version, wait time.Duration) (feed.PeerState, error) {
	p.update(func() { p.followCalls++ })
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		unresponsive := p.unresponsive
		state, err := p.state()
		p.mu.Unlock()
		if ctx.Err() != nil {
			return feed.PeerState{}, ctx.Err()
		}
		if !unresponsive && (state.Version.IsNewerThan(version) || !time.Now().Before(end)) {
			return state, err
		}
	}
}

type noMeter struct{}

func (noMeter) StoreCalled(string, string) {}

// runFeed runs a feed in virtual time while scenario changes the store and the peers.
func runFeed(t *testing.T, store *fakeStore, peers *fakePeers, scenario func(*catalog.Catalog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New(anyItemDecoder{}, telemetry.Silent())
		f := feed.New(feed.Config{}, store, peers, c, noMeter{}, telemetry.Silent())
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { f.Run(ctx) })
		work.Go(func() { f.RunMaintenance(ctx) })
		scenario(c)
		cancel()
		work.Wait()
	})
}

func wantRevision(t *testing.T, c *catalog.Catalog, want uint64) {
	t.Helper()
	if got := c.View().Version.Revision; got != want {
		t.Fatalf("the catalog has revision %d, want %d", got, want)
	}
}

// propagationBound is the strictest limit on the time until a change takes effect.
const propagationBound = 2 * time.Second

func TestChangeIsAppliedWithinBound(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		for revision := uint64(2); revision < 20; revision++ {
			store.put(revision)
			time.Sleep(propagationBound / 2)
			wantRevision(t, c, revision)
		}
	})
}

func TestBurstOfChangesIsBatched(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		const changes, gap = 100, 50 * time.Millisecond
		for revision := uint64(2); revision < 2+changes; revision++ {
			store.put(revision)
			time.Sleep(gap)
		}
		// Three calls per second are enough for a bound of two seconds.
		if limit := 1 + 3*int((changes*gap+time.Second).Seconds()); store.watches > limit {
			t.Fatalf("%d watches, want %d at most", store.watches, limit)
		}
	})
}

// Three configurations of 270 KB (360 KB in base64) are written to the store per second. Of
// the host's 10 Mbit/s, which carry requests as well, 7 are left for the store. Watches
// would return every version and fall further behind with each call; the feed has to list
// the latest version instead.
func TestLargeChangesKeepBoundOnSlowLink(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}, valueBytes: 360_000, bytesPerSecond: 7_000_000 / 8}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		const gap = 330 * time.Millisecond
		for revision := uint64(2); revision < 40; revision++ {
			store.put(revision)
			time.Sleep(gap)
			if behind := time.Duration(revision-min(c.View().Version.Revision, revision)) * gap; behind > propagationBound {
				t.Fatalf("the catalog is %v behind the store at revision %d", behind, revision)
			}
		}
		time.Sleep(propagationBound)
		wantRevision(t, c, 39)
	})
}

func TestCompactedHistoryCausesRelist(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		store.put(7)
		store.update(func() { store.compacted = true })
		time.Sleep(time.Second)
		wantRevision(t, c, 7)
	})
}

// A watch may stop receiving events, without an error, when the store compacts its
// history. The platform counts the store as stable again three seconds after that;
// from then on, a change must take effect within its bound.
func TestWatchThatMissesEventsIsRenewed(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		store.update(func() { store.missesEvents, store.compacted = true, true })
		store.put(7)
		time.Sleep(3*time.Second + propagationBound/2)
		wantRevision(t, c, 7)
	})
}

func TestPeersSupplyNodeWhileStoreIsDown(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}, down: true}
	peers := &fakePeers{revision: 9}
	runFeed(t, store, peers, func(c *catalog.Catalog) {
		time.Sleep(propagationBound)
		wantRevision(t, c, 9)
	})
}

func TestFollowerDoesNotReadStore(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	peers := &fakePeers{revision: 1, hasUpstream: true}
	runFeed(t, store, peers, func(c *catalog.Catalog) {
		for revision := uint64(2); revision < 20; revision++ {
			peers.update(func() { peers.revision = revision })
			time.Sleep(propagationBound / 2)
			wantRevision(t, c, revision)
		}
		if store.lists != 0 || store.watches != 0 {
			t.Fatalf("follower made %d lists and %d watches, want none: its first copy comes from its upstream", store.lists, store.watches)
		}
	})
}

// The upstream crashes, or loses its connection to the store, at the moment at which a
// change is accepted.
func TestFollowerKeepsBoundWhenUpstreamFails(t *testing.T) {
	for name, fail := range map[string]func(*fakePeers){
		"silent": func(p *fakePeers) { p.unresponsive = true },
		"old":    func(p *fakePeers) { p.age = 2 * time.Second },
		"gone":   func(p *fakePeers) { p.revision = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
			peers := &fakePeers{revision: 1, hasUpstream: true}
			runFeed(t, store, peers, func(c *catalog.Catalog) {
				time.Sleep(time.Second)
				peers.update(func() { fail(peers) })
				store.put(7)
				time.Sleep(propagationBound)
				wantRevision(t, c, 7)
				followed := peers.followCalls
				store.put(8)
				time.Sleep(propagationBound)
				wantRevision(t, c, 8)
				if peers.followCalls != followed {
					t.Fatal("the failed upstream was followed again within its ejection time")
				}
			})
		})
	}
}

func TestStoreRecoveryIsDetectedWithinOneSecond(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}, down: true}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		time.Sleep(20 * time.Second)
		store.update(func() { store.down = false })
		time.Sleep(time.Second)
		wantRevision(t, c, 1)
	})
}

// All nodes start at the same time, and the servers on their hosts register one after
// the other. Without batching, 69 nodes made 279 store calls in the first two seconds of a
// fleetbench run.
func TestStaggeredRegistrationsAtStartupAreBatched(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
		const servers, apart = 14, 100 * time.Millisecond
		for revision := uint64(2); revision < 2+servers; revision++ {
			time.Sleep(apart)
			store.put(revision)
		}
		time.Sleep(time.Second)
		wantRevision(t, c, 1+servers)
		store.mu.Lock()
		defer store.mu.Unlock()
		if calls := store.lists + store.watches; calls > 5 {
			t.Errorf("%d store calls, want 5 at most", calls)
		}
	})
}

// A restarted node queries other nodes before the store. The copy of a partitioned node
// may still contain a server that has left, or a route that was removed.
func TestRestartedNodeRejectsStaleCopyWhileStoreResponds(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(7)}}}
	peers := &fakePeers{revision: 3, hasUpstream: true, age: 2 * time.Second}
	runFeed(t, store, peers, func(c *catalog.Catalog) {
		for range 40 {
			time.Sleep(propagationBound / 20)
			if got := c.View().Version.Revision; got != 0 && got != 7 {
				t.Fatalf("applied a stale copy of revision %d", got)
			}
		}
		wantRevision(t, c, 7)
	})
}

// The store compacts its history while the copies of the upstreams are too old. The
// follower must list at once, before it tries upstreams again.
func TestFollowerRelistsAtOnceAfterCompaction(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
	peers := &fakePeers{revision: 1, hasUpstream: true}
	runFeed(t, store, peers, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		store.put(7)
		store.update(func() { store.compacted = true })
		peers.update(func() { peers.age, peers.ignoreEjection = 2*time.Second, true })
		time.Sleep(propagationBound)
		wantRevision(t, c, 7)
	})
}
