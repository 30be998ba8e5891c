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

// slowDecoder takes some time to decode each item, as a small host does with a large
// configuration.
type slowDecoder struct{ takes time.Duration }

func (d slowDecoder) Decode(item catalog.Item) (catalog.Record, error) {
	time.Sleep(d.takes)
	return anyItemDecoder{}.Decode(item)
}

// The answer to a call says nothing about the changes made while it is applied. If the
// copy looked young as soon as the answer arrived, or from the time at which it was
// applied, peers would take a copy without the next change for a current one.
func TestCopyAgesWhileChangesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const decoding = 3 * time.Second
		store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
		c := catalog.New(slowDecoder{decoding}, telemetry.Silent())
		start := time.Now()
		f := feed.New(feed.Config{Clock: func() time.Duration { return time.Since(start) + time.Hour }}, store, &fakePeers{}, c, noMeter{}, telemetry.Silent())
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { f.Run(ctx) })
		time.Sleep(decoding + time.Second)
		store.put(6)
		time.Sleep(50 * time.Millisecond)
		store.put(7)
		changedAt := time.Now()
		for {
			time.Sleep(50 * time.Millisecond)
			age := f.Age(time.Now())
			proven, ok := f.ProvenAge()
			if c.View().Version.Revision == 7 {
				break
			}
			if behind := time.Since(changedAt); age < behind-time.Second || !ok || proven < behind {
				t.Errorf("%v after a change that is not applied, the copy has age %v and proven age %v", behind, age, proven)
				break
			}
		}
		cancel()
		work.Wait()
	})
}

// A change that the store acknowledged longer ago than the proven age is in the catalog,
// whatever the store and the peers do.
func TestProvenAgeBoundsEveryChange(t *testing.T) {
	for name, disturb := range map[string]func(*fakeStore){
		"none":            func(*fakeStore) {},
		"down":            func(s *fakeStore) { s.down = true },
		"history dropped": func(s *fakeStore) { s.missesEvents, s.compacted = true, true },
		"slow link":       func(s *fakeStore) { s.valueBytes, s.bytesPerSecond = 100_000, 100_000 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}}
				c := catalog.New(anyItemDecoder{}, telemetry.Silent())
				start := time.Now()
				clock := func() time.Duration { return time.Since(start) + time.Hour }
				f := feed.New(feed.Config{Clock: clock}, store, &fakePeers{}, c, noMeter{}, telemetry.Silent())
				ctx, cancel := context.WithCancel(t.Context())
				var work sync.WaitGroup
				work.Go(func() { f.Run(ctx) })
				writtenAt := map[uint64]time.Duration{}
				for revision := uint64(2); revision < 200; revision++ {
					time.Sleep(70 * time.Millisecond)
					if revision == 50 {
						store.update(func() { disturb(store) })
					}
					store.put(revision)
					writtenAt[revision] = clock()
					age, ok := f.ProvenAge()
					known := c.View().Version.Revision
					if next, written := writtenAt[known+1]; ok && written && clock()-next > age {
						t.Fatalf("revision %d, written %v ago, is missing from a copy of proven age %v", known+1, clock()-next, age)
					}
				}
				cancel()
				work.Wait()
			})
		})
	}
}

// The answer of a peer counts from the beginning of the request, since it may have been
// on its way for seconds.
func TestPeerProofCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{items: []catalog.Item{{Key: "k", Version: at(1)}}, down: true}
		peers := &slowProof{fakePeers: fakePeers{revision: 9}, transit: 300 * time.Millisecond}
		c := catalog.New(anyItemDecoder{}, telemetry.Silent())
		start := time.Now()
		f := feed.New(feed.Config{Clock: func() time.Duration { return time.Since(start) + time.Hour }}, store, peers, c, noMeter{}, telemetry.Silent())
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { f.Run(ctx) })
		work.Go(func() { f.RunMaintenance(ctx) })
		for c.View().Version.Revision != 9 {
			time.Sleep(time.Millisecond)
		}
		if age, ok := f.ProvenAge(); !ok || age < peers.transit {
			t.Fatalf("proven age %v (%v) of an answer that travelled %v", age, ok, peers.transit)
		}
		cancel()
		work.Wait()
	})
}

// slowProof are peers with current copies whose answers take some time to arrive.
type slowProof struct {
	fakePeers
	transit time.Duration
}

func (p *slowProof) Query(ctx context.Context, version catalog.Version) (feed.PeerState, error) {
	state, err := p.fakePeers.Query(ctx, version)
	state.Proof = &feed.PeerProof{}
	time.Sleep(p.transit)
	return state, err
}
