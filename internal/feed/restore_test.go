package feed_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/feed"
	"boragefall/internal/telemetry"
)

func wantVersion(t *testing.T, c *catalog.Catalog, want catalog.Version) {
	t.Helper()
	if got := c.View().Version; got != want {
		t.Fatalf("the catalog has version %v, want %v", got, want)
	}
}

// The store is restored from an older copy: the watch's revision is unknown (410), known, or
// reached again by other changes. Guards against a node that keeps the lost state, or takes
// the events of the new era for a continuation of the old one.
func TestRestoredStoreIsListedAnew(t *testing.T) {
	for name, revision := range map[string]uint64{"revision unknown": 5, "same revision": 9, "revisions assigned again": 12} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(9)}}}
			runFeed(t, store, &fakePeers{}, func(c *catalog.Catalog) {
				time.Sleep(time.Second)
				var before, after int
				store.update(func() { before = store.lists })
				store.restore(revision)
				time.Sleep(time.Second)
				wantVersion(t, c, catalog.Version{Era: 1, Revision: revision})
				store.update(func() { after = store.lists })
				if after != before+1 {
					t.Errorf("%d lists after the restore, want one", after-before)
				}
				store.put(revision + 1)
				time.Sleep(propagationBound / 2)
				wantVersion(t, c, catalog.Version{Era: 1, Revision: revision + 1})
			})
		})
	}
}

// All nodes must be in the new era within the bounds after a drill, without each of them
// reading the store.
func TestFleetFollowsRestoredStore(t *testing.T) {
	runFleet(t, 194, func(f *feedFleet) {
		time.Sleep(5 * time.Second)
		f.store.put(20)
		time.Sleep(propagationBound)
		calls := f.storeCallsDuring(func() {
			f.store.restore(12)
			time.Sleep(propagationBound)
			if behind := f.countOlder(catalog.Version{Era: 1, Revision: 12}); behind > 0 {
				t.Errorf("%d nodes are not in the new era", behind)
			}
			f.store.put(13)
			time.Sleep(propagationBound)
			if behind := f.countOlder(catalog.Version{Era: 1, Revision: 13}); behind > 0 {
				t.Errorf("%d nodes have not applied the change", behind)
			}
		})
		if calls > maxDailyCalls {
			t.Errorf("%d store calls, want %d at most", calls, maxDailyCalls)
		}
	})
}

// The store is away and several eras are left among the peers. Guards against a node that
// goes back to an older era, or that takes the age of such a copy for that of its own.
func TestHighestEraAmongPeersWins(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}, down: true}
	peers := &fakePeers{revision: 9, age: time.Minute}
	runFeed(t, store, peers, func(c *catalog.Catalog) {
		time.Sleep(propagationBound)
		wantVersion(t, c, at(9))
		peers.update(func() { peers.era, peers.revision = 1, 4 })
		time.Sleep(propagationBound)
		wantVersion(t, c, catalog.Version{Era: 1, Revision: 4})
		peers.update(func() { peers.era, peers.revision = 0, 30 })
		time.Sleep(propagationBound)
		wantVersion(t, c, catalog.Version{Era: 1, Revision: 4})
	})
}

// Runs a feed by hand: the clock of proofs is the virtual time.
func newProofFeed(store feed.Store, peers feed.Peers) (*catalog.Catalog, *feed.Feed) {
	c := catalog.New(anyItemDecoder{}, telemetry.Silent())
	start := time.Now()
	cfg := feed.Config{Clock: func() time.Duration { return time.Since(start) + time.Hour }}
	return c, feed.New(cfg, store, peers, c, noMeter{}, telemetry.Silent())
}

// A node learns of a new era by a response that holds no items. What was proven in the old
// era must not count any more until the new era's items were read, and neither must the
// proofs of peers in the old era.
func TestProofsEndWithTheirEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(9)}}}
		peers := &slowProof{}
		c, f := newProofFeed(store, peers)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { f.Run(ctx) })
		work.Go(func() { f.RunMaintenance(ctx) })
		time.Sleep(time.Second)
		if _, ok := f.ProvenAge(); !ok {
			t.Error("nothing proven in the first era")
		}
		store.update(func() { store.down, store.failingEra = true, 1 })
		peers.update(func() { peers.revision = 30 })
		time.Sleep(propagationBound)
		if age, ok := f.ProvenAge(); ok {
			t.Errorf("proven age %v of an era that has ended", age)
		}
		wantVersion(t, c, at(9))
		if age := f.Age(time.Now()); age < propagationBound/2 {
			t.Errorf("age %v by a copy of an era that has ended", age)
		}
		store.put(31) // by a part of the store that is not restored yet
		store.update(func() { store.down = false })
		time.Sleep(time.Second)
		wantVersion(t, c, at(9))
		store.restore(5)
		time.Sleep(time.Second)
		wantVersion(t, c, catalog.Version{Era: 1, Revision: 5})
		if age, ok := f.ProvenAge(); !ok || age > time.Second {
			t.Errorf("proven age %v (%v) after the list of the new era", age, ok)
		}
		cancel()
		work.Wait()
	})
}

// A response of the previous era arrives when the node has learned of the new one from a
// peer. Guards against events of the lost state, and against a store that responds with
// both eras in turns.
func TestLateResponseOfOlderEraIsDiscarded(t *testing.T) {
	store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(9)}}}
	peers := &fakePeers{revision: 5, era: 1}
	runFeed(t, store, peers, func(c *catalog.Catalog) {
		time.Sleep(time.Second)
		peers.update(func() { peers.hasUpstream = true })
		time.Sleep(2 * time.Second)
		wantVersion(t, c, catalog.Version{Era: 1, Revision: 5})
		peers.update(func() { peers.hasUpstream = false })
		store.put(40) // still of era 0
		time.Sleep(propagationBound)
		wantVersion(t, c, catalog.Version{Era: 1, Revision: 5})
		store.restore(6)
		time.Sleep(propagationBound)
		wantVersion(t, c, catalog.Version{Era: 1, Revision: 6})
	})
}
