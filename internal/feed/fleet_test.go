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

// fleetNode is one node of a fleet in memory.
type fleetNode struct {
	*copytree.Selector
	fleet   *feedFleet
	member  copytree.Member
	catalog *catalog.Catalog
	feed    *feed.Feed
	// down nodes answer nobody; rejectedByStore ones are refused by the store. Both are
	// guarded by the fleet's lock.
	down, rejectedByStore bool
	storeCalls            int
	// startDelay is when its host has power.
	startDelay time.Duration
}

// feedFleet is a fleet of nodes on one store, in virtual time.
type feedFleet struct {
	mu         sync.Mutex
	store      *fakeStore
	nodes      []*fleetNode
	byAddress  map[string]*fleetNode
	storeCalls int
}

// dataCentres is the number of data centres of each fleet.
const dataCentres = 6

// startupSpread is the time within which all hosts start.
const startupSpread = 300 * time.Millisecond

func newFeedFleet(size, dataCentres int) *feedFleet {
	f := &feedFleet{store: &fakeStore{items: []catalog.Item{{Key: "k", Revision: 1}}}, byAddress: map[string]*fleetNode{}}
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
			if v.Revision > 0 {
				n.SetMembers(members)
			}
		})
		n.feed = feed.New(feed.Config{}, n, n, n.catalog, noMeter{}, telemetry.Silent())
	}
	return f
}

// runFleet starts all nodes of a fleet within the time that the platform states, and
// plays.
func runFleet(t *testing.T, size int, scenario func(f *feedFleet)) {
	t.Helper()
	runPreparedFleet(t, size, func(*feedFleet) {}, scenario)
}

// runPreparedFleet does so after a change of the fleet.
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

// storeCallsDuring returns the calls of the store while something is played.
func (f *feedFleet) storeCallsDuring(scenario func()) int {
	f.update(func() { f.storeCalls = 0 })
	scenario()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeCalls
}

// countBehind returns the nodes that answer and have not reached a revision.
func (f *feedFleet) countBehind(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		f.mu.Lock()
		down := n.down
		f.mu.Unlock()
		if !down && n.catalog.View().Revision < revision {
			count++
		}
	}
	return count
}

// readers returns the nodes that made most of the calls lately.
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

func (n *fleetNode) List(ctx context.Context) ([]catalog.Item, uint64, error) {
	if !n.recordStoreCall() {
		return nil, 0, errDown
	}
	return n.fleet.store.List(ctx)
}

func (n *fleetNode) Watch(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Item, uint64, error) {
	if !n.recordStoreCall() {
		return nil, 0, errDown
	}
	return n.fleet.store.Watch(ctx, after, wait)
}

func (n *fleetNode) Follow(ctx context.Context, address string, revision uint64, wait time.Duration) (feed.PeerState, error) {
	time.Sleep(time.Millisecond) // the way there and back
	peer := n.fleet.byAddress[address]
	n.fleet.mu.Lock()
	down := peer.down || n.down
	n.fleet.mu.Unlock()
	if down {
		<-ctx.Done() // a host without power says nothing
		return feed.PeerState{}, ctx.Err()
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	peer.catalog.Await(waitCtx, revision)
	items, complete, at := peer.catalog.ChangesSince(revision)
	return feed.PeerState{Items: items, Complete: complete, Revision: at, Age: peer.feed.Age(time.Now())}, nil
}

func (n *fleetNode) Query(ctx context.Context, revision uint64) (feed.PeerState, error) {
	address, ok := n.QueryTarget()
	if !ok {
		return feed.PeerState{}, errDown
	}
	return n.Follow(ctx, address, revision, 0)
}

// maxDailyCalls is the number of calls of the store that a fleet may make in a day of 45 s
// with a start of all nodes: below it they cost less than a hundredth of the day's
// worth at 194 nodes, by the operators' prices.
const maxDailyCalls = 400

// All nodes start at once, and a change comes every second. With one reader for each
// 16 nodes of a data centre, and a list by each node at its start, fleetbench counted
// 4,186 calls in such a day at 194 nodes.
func TestStoreCallsDoNotGrowWithFleetSize(t *testing.T) {
	for _, size := range []int{14, 68, 194, 1839} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *feedFleet) {
				calls := f.storeCallsDuring(func() {
					time.Sleep(3 * time.Second)
					for revision := uint64(2); revision < 44; revision++ {
						f.store.put(revision)
						time.Sleep(time.Second)
						if late := f.countBehind(revision); late > 0 {
							t.Errorf("%d nodes lack revision %d after a second", late, revision)
						}
					}
				})
				if calls > maxDailyCalls {
					t.Errorf("%d calls, want %d at most", calls, maxDailyCalls)
				}
			})
		})
	}
}

// A change must be in force everywhere within its bound whatever became of the
// readers, or of the readers and the relays behind them, at its very moment.
func TestFleetKeepsBoundWhenReadersFail(t *testing.T) {
	for name, fail := range map[string]func(*fleetNode){
		"without power":            func(n *fleetNode) { n.down = true },
		"turned away by the store": func(n *fleetNode) { n.rejectedByStore = true },
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
					if late := f.countBehind(3); late > 0 {
						t.Errorf("%d nodes lack the change after %v", late, propagationBound)
					}
					time.Sleep(10 * time.Second)
				})
				if calls > maxDailyCalls {
					t.Errorf("%d calls after the loss of %d readers, want %d at most", calls, len(readers), maxDailyCalls)
				}
			})
		})
	}
}

// The store answers nobody for some seconds. Once it is back for three seconds, the
// platform counts it as stable and bounds hold again.
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
		if late := f.countBehind(2); late > 0 {
			t.Errorf("%d nodes lack the change", late)
		}
		// Each node may see for itself, twice, that the store is away.
		if limit := maxDailyCalls + 2*len(f.nodes); calls > limit {
			t.Errorf("%d calls during the outage, want %d at most", calls, limit)
		}
	})
}

// Power is back at all hosts within 300 ms. Nodes that came first asked hosts without
// power, and were 750 ms without a configuration on fyrnet-large.
func TestSimultaneousStartGetsConfigurationSoon(t *testing.T) {
	const seeds = 3
	runPreparedFleet(t, 194, func(f *feedFleet) {
		for i, n := range f.nodes[:seeds] {
			n.down, n.startDelay = true, startupSpread*time.Duration(i+1)/seeds
		}
	}, func(f *feedFleet) {
		// A host that was asked in vain, and the answer of the next.
		time.Sleep(startupSpread + 300*time.Millisecond)
		if late := f.countBehind(1); late > 0 {
			t.Errorf("%d nodes have no configuration", late)
		}
	})
}

// A third of the hosts, drawn so that it holds the readers, is turned away for long.
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
			if late := f.countBehind(revision); late > 0 {
				t.Errorf("%d nodes lack revision %d", late, revision)
			}
		}
	})
}
