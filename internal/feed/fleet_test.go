package feed_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/copytree"
	"boragefall/internal/feed"
	"boragefall/internal/telemetry"
)

// fleetNode is a node of a feedFleet.
type fleetNode struct {
	*copytree.Selector
	fleet   *feedFleet
	member  copytree.Member
	catalog *catalog.Catalog
	feed    *feed.Feed
	// down makes the node unresponsive; rejectedByStore makes its store calls fail.
	// Both are guarded by the fleet's lock.
	down, rejectedByStore bool
	storeCalls            int
	// startDelay is the time at which its host is powered on.
	startDelay time.Duration
}

// feedFleet is an in-memory fleet of nodes with one store, in virtual time.
type feedFleet struct {
	mu         sync.Mutex
	store      *fakeStore
	nodes      []*fleetNode
	byAddress  map[string]*fleetNode
	storeCalls int
}

// dataCentres is the number of data centres of a fleet.
const dataCentres = 6

// startupSpread is the time within which all hosts are powered on.
const startupSpread = 300 * time.Millisecond

func newFeedFleet(size, dataCentres int) *feedFleet {
	f := &feedFleet{store: &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}, byAddress: map[string]*fleetNode{}}
	var members []copytree.Member
	for i := range size {
		members = append(members, copytree.Member{
			Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), DataCentre: fmt.Sprint("dc", i%dataCentres),
		})
	}
	seeds := []string{members[0].Address, members[1].Address, members[2].Address}
	for i, m := range members {
		n := &fleetNode{Selector: copytree.NewSelector(m, seeds), fleet: f, member: m}
		n.startDelay = startupSpread * time.Duration(i) / time.Duration(size)
		f.nodes = append(f.nodes, n)
		f.byAddress[m.Address] = n
	}
	for _, n := range f.nodes {
		n.catalog = catalog.New(anyItemDecoder{}, telemetry.Silent())
		n.catalog.OnChange(func(v *catalog.View) {
			if !v.Version.IsZero() {
				n.SetMembers(members)
			}
		})
		n.feed = feed.New(feed.Config{}, n, n, n.catalog, noMeter{}, telemetry.Silent())
	}
	return f
}

// runFleet starts all nodes of a fleet within startupSpread, the platform's limit, and
// runs a scenario.
func runFleet(t *testing.T, size int, scenario func(f *feedFleet)) {
	t.Helper()
	runPreparedFleet(t, size, func(*feedFleet) {}, scenario)
}

// runPreparedFleet is runFleet for a fleet that prepare has changed.
func runPreparedFleet(t *testing.T, size int, prepare, scenario func(f *feedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFeedFleet(size, dataCentres)
		prepare(f)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		for _, n := range f.nodes {
			work.Go(func() {
				time.Sleep(n.startDelay)
				f.update(func() { n.down = false })
				work.Go(func() { n.feed.RunMaintenance(ctx) })
				n.feed.Run(ctx)
			})
		}
		scenario(f)
		cancel()
		work.Wait()
	})
}

func (f *feedFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// storeCallsDuring returns the number of store calls during a scenario.
func (f *feedFleet) storeCallsDuring(scenario func()) int {
	f.update(func() { f.storeCalls = 0 })
	scenario()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeCalls
}

// countBehind returns the number of running nodes that have not reached a revision.
func (f *feedFleet) countBehind(revision uint64) int {
	return f.countOlder(at(revision))
}

// countOlder returns the number of running nodes that have not reached a version.
func (f *feedFleet) countOlder(version catalog.Version) int {
	count := 0
	for _, n := range f.nodes {
		f.mu.Lock()
		down := n.down
		f.mu.Unlock()
		if !down && version.IsNewerThan(n.catalog.View().Version) {
			count++
		}
	}
	return count
}

// readers returns the nodes that made more than one store call.
func (f *feedFleet) readers() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*fleetNode
	for _, n := range f.nodes {
		if n.storeCalls > 1 {
			out = append(out, n)
		}
	}
	return out
}

func (n *fleetNode) recordStoreCall() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.storeCalls++
	n.storeCalls++
	return !n.rejectedByStore && !n.down
}

func (n *fleetNode) List(ctx context.Context) ([]catalog.Item, catalog.Version, error) {
	if !n.recordStoreCall() {
		return nil, catalog.Version{}, errDown
	}
	return n.fleet.store.List(ctx)
}

func (n *fleetNode) Watch(ctx context.Context, after catalog.Version, wait time.Duration) ([]catalog.Item, catalog.Version, error) {
	if !n.recordStoreCall() {
		return nil, catalog.Version{}, errDown
	}
	return n.fleet.store.Watch(ctx, after, wait)
}

func (n *fleetNode) Follow(ctx context.Context, address string, version catalog.Version, wait time.Duration) (feed.PeerState, error) {
	time.Sleep(time.Millisecond) // network round trip
	peer := n.fleet.byAddress[address]
	n.fleet.mu.Lock()
	down := peer.down || n.down
	n.fleet.mu.Unlock()
	if down {
		<-ctx.Done() // a host that is powered off does not respond
		return feed.PeerState{}, ctx.Err()
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	peer.catalog.Await(waitCtx, version)
	changes := peer.catalog.ChangesSince(version)
	return feed.PeerState{Changes: changes, Age: peer.feed.Age(time.Now())}, nil
}

func (n *fleetNode) Query(ctx context.Context, version catalog.Version) (feed.PeerState, error) {
	address, ok := n.QueryTarget()
	if !ok {
		return feed.PeerState{}, errDown
	}
	return n.Follow(ctx, address, version, 0)
}

// maxDailyCalls is the number of store calls that a fleet may make in a simulated day of
// 45 s that includes a start of all nodes. Below it, by the operators' prices, the calls
// cost less than a hundredth of the day's worth at 194 nodes.
const maxDailyCalls = 400

// All nodes start at once, and a change is written every second. With one reader per 16
// nodes of a data centre, and a list by each node at its start, fleetbench counted 4,186
// store calls in such a day at 194 nodes.
func TestStoreCallsDoNotGrowWithFleetSize(t *testing.T) {
	for _, size := range []int{14, 68, 194, 1839} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *feedFleet) {
				calls := f.storeCallsDuring(func() {
					time.Sleep(3 * time.Second)
					for revision := uint64(2); revision < 44; revision++ {
						f.store.put(revision)
						time.Sleep(time.Second)
						if behind := f.countBehind(revision); behind > 0 {
							t.Errorf("%d nodes have not reached revision %d after a second", behind, revision)
						}
					}
				})
				if calls > maxDailyCalls {
					t.Errorf("%d store calls, want %d at most", calls, maxDailyCalls)
				}
			})
		})
	}
}

// A change must take effect on all nodes within its bound, even when the readers fail
// at the moment at which it is written.
func TestFleetKeepsBoundWhenReadersFail(t *testing.T) {
	for name, fail := range map[string]func(*fleetNode){
		"powered off":           func(n *fleetNode) { n.down = true },
		"rejected by the store": func(n *fleetNode) { n.rejectedByStore = true },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 194, func(f *feedFleet) {
				time.Sleep(5 * time.Second)
				f.store.put(2)
				time.Sleep(time.Second)
				readers := f.readers()
				f.update(func() {
					for _, n := range readers {
						fail(n)
					}
				})
				f.store.put(3)
				calls := f.storeCallsDuring(func() {
					time.Sleep(propagationBound)
					if behind := f.countBehind(3); behind > 0 {
						t.Errorf("%d nodes have not applied the change after %v", behind, propagationBound)
					}
					time.Sleep(10 * time.Second)
				})
				if calls > maxDailyCalls {
					t.Errorf("%d store calls after the failure of %d readers, want %d at most", calls, len(readers), maxDailyCalls)
				}
			})
		})
	}
}

// The store is unavailable for some seconds. Three seconds after its recovery, the
// platform counts it as stable, and the bounds apply again.
func TestFleetDetectsStoreRecovery(t *testing.T) {
	runFleet(t, 194, func(f *feedFleet) {
		time.Sleep(5 * time.Second)
		calls := f.storeCallsDuring(func() {
			f.store.update(func() { f.store.down = true })
			time.Sleep(4500 * time.Millisecond)
			f.store.update(func() { f.store.down = false })
			time.Sleep(3 * time.Second)
		})
		f.store.put(2)
		time.Sleep(propagationBound)
		if behind := f.countBehind(2); behind > 0 {
			t.Errorf("%d nodes have not applied the change", behind)
		}
		// Each node may detect the outage by two store calls of its own.
		if limit := maxDailyCalls + 2*len(f.nodes); calls > limit {
			t.Errorf("%d store calls during the outage, want %d at most", calls, limit)
		}
	})
}

// All hosts are powered on within 300 ms. The first nodes to start query hosts that are
// still off; on fyrnet-large this left them without a configuration for 750 ms.
func TestSimultaneousStartGetsConfigurationSoon(t *testing.T) {
	const seeds = 3
	runPreparedFleet(t, 194, func(f *feedFleet) {
		for i, n := range f.nodes[:seeds] {
			n.down, n.startDelay = true, startupSpread*time.Duration(i+1)/seeds
		}
	}, func(f *feedFleet) {
		// Time for one query that times out and one that is answered.
		time.Sleep(startupSpread + 300*time.Millisecond)
		if behind := f.countBehind(1); behind > 0 {
			t.Errorf("%d nodes have no configuration", behind)
		}
	})
}

// The store rejects a third of the hosts, including the readers, for a long time.
func TestFleetStaysCurrentWhenStoreRejectsThirdOfNodes(t *testing.T) {
	runFleet(t, 194, func(f *feedFleet) {
		time.Sleep(5 * time.Second)
		readers := f.readers()
		f.update(func() {
			for i, n := range f.nodes {
				n.rejectedByStore = i%3 == 0
			}
			for _, n := range readers {
				n.rejectedByStore = true
			}
		})
		time.Sleep(4 * time.Second)
		for revision := uint64(2); revision < 8; revision++ {
			f.store.put(revision)
			time.Sleep(propagationBound)
			if behind := f.countBehind(revision); behind > 0 {
				t.Errorf("%d nodes have not reached revision %d", behind, revision)
			}
		}
	})
}
