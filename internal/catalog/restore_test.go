package catalog_test

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/catalog"
	"boragefall/internal/mesh"
	"boragefall/internal/telemetry"
)

// inEra returns an item with its revision in an era.
func inEra(era uint64, item catalog.Item) catalog.Item {
	item.Version.Era = era
	return item
}

func born(at int64) func(*mesh.Server) {
	return func(s *mesh.Server) { s.StartUnixMillis = at }
}

func draining(s *mesh.Server) { s.State = mesh.ServerDraining }

var _ = Describe("a catalog whose store is restored from an older copy", func() {
	var c *catalog.Catalog
	now := time.Unix(1000, 0)
	era1 := func(revision uint64) catalog.Version { return catalog.Version{Era: 1, Revision: revision} }
	ready := func(era, revision uint64) catalog.Item { return inEra(era, serverItem("a", revision, born(100))) }

	BeforeEach(func() {
		c = catalog.New(jsonDecoder{}, telemetry.Silent())
		c.Replace([]catalog.Item{ready(0, 10), configItem(7, 11)}, at(20), now)
	})

	// Guards against a drill after which all changes are ignored, since revisions went back.
	It("applies a list of the new era at a smaller revision", func() {
		Expect(c.Replace([]catalog.Item{inEra(1, configItem(8, 5))}, era1(5), now)).To(BeTrue())
		Expect(c.View().Config.Version).To(BeEquivalentTo(8))
		Expect(c.View().Version).To(Equal(era1(5)))
	})

	// Guards against events that continue a list that this node doesn't have.
	It("discards events of another era", func() {
		Expect(c.Apply([]catalog.Item{inEra(1, configItem(8, 25))}, era1(25), now)).To(BeFalse())
		c.Replace([]catalog.Item{ready(1, 5)}, era1(5), now)
		Expect(c.Apply([]catalog.Item{configItem(9, 30)}, at(30), now)).To(BeFalse())
		Expect(c.View().Config.Version).To(BeEquivalentTo(7))
	})

	// Guards against a late response, or a node of an old build, that brings back the past.
	It("discards lists and copies of an older era, and incomplete copies of a newer one", func() {
		c.Replace([]catalog.Item{ready(1, 5)}, era1(5), now)
		Expect(c.Replace(nil, at(90), now)).To(BeFalse())
		Expect(c.Merge(catalog.Changes{Complete: true, Version: at(90)}, now)).To(BeFalse())
		Expect(c.Merge(catalog.Changes{Version: catalog.Version{Era: 2, Revision: 9}}, now)).To(BeFalse())
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
		Expect(c.Version()).To(Equal(era1(5)))
	})

	// Guards against a follower that keeps what only the older era had.
	It("gives followers of another era all items", func() {
		c.Replace([]catalog.Item{ready(1, 5)}, era1(5), now)
		changes := c.ChangesSince(at(3))
		Expect(changes.Complete).To(BeTrue())
		Expect(changes.Gapless).To(BeFalse())
		Expect(changes.Items).To(HaveLen(1))
		Expect(c.ChangesSince(era1(4)).Complete).To(BeTrue())
	})

	// Guards against a key that was revoked in the lost seconds and is accepted again.
	It("keeps a newer configuration until the store has one that is at least as new", func() {
		c.Replace([]catalog.Item{inEra(1, configItem(6, 5))}, era1(5), now)
		Expect(c.View().Config.Version).To(BeEquivalentTo(7))
		kept := c.View().Config
		rewritten := inEra(1, catalog.Item{Key: "c", Version: at(6), Value: mustMarshal(mesh.Config{Version: 7, Defects: []mesh.Defect{{}}})})
		c.Apply([]catalog.Item{rewritten}, era1(6), now)
		Expect(c.View().Config).NotTo(BeIdenticalTo(kept))
		c.Apply([]catalog.Item{inEra(1, configItem(6, 7))}, era1(7), now)
		Expect(c.View().Config.Defects).To(HaveLen(1))
	})

	// Guards against a fleet that drops all servers that registered in the lost seconds.
	It("keeps a missing server as suspect until it registers again or the grace period ends", func() {
		c.Replace(nil, era1(5), now)
		Expect(c.View().Servers["a"].Suspect).To(BeTrue())
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
		c.ExpireSuspects(now.Add(catalog.ReregistrationGrace))
		Expect(usableIDs(c)).To(BeEmpty())
		c.Apply([]catalog.Item{ready(1, 6)}, era1(6), now)
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	DescribeTable("does not revive a server by a record that may be older than its end",
		func(end func()) {
			end()
			Expect(usableIDs(c)).To(BeEmpty())
			c.Replace([]catalog.Item{ready(1, 10)}, era1(12), now)
			Expect(usableIDs(c)).To(BeEmpty())
			Expect(c.View().ServerAt("10.0.0.1:1").AcceptsRequests()).To(BeFalse())
			c.Replace([]catalog.Item{inEra(2, serverItem("a", 10, born(99)))}, catalog.Version{Era: 2, Revision: 11}, now)
			Expect(usableIDs(c)).To(BeEmpty())
			c.Apply([]catalog.Item{inEra(2, serverItem("a", 12, born(200)))}, catalog.Version{Era: 2, Revision: 12}, now)
			Expect(usableIDs(c)).To(Equal([]string{"a"}))
		},
		Entry("it was draining", func() {
			c.Apply([]catalog.Item{serverItem("a", 21, born(100), draining)}, at(21), now)
		}),
		Entry("it stated that it leaves", func() { c.MarkLeaving(c.View().Servers["a"].Server) }),
		Entry("it was gone", func() { c.Apply([]catalog.Item{deletion("sa", 21)}, at(21), now) }),
		Entry("it was gone after an outage", func() {
			c.MarkStoreUnavailable()
			c.Apply([]catalog.Item{deletion("sa", 21)}, at(21), now)
			c.MarkStoreAvailable(now)
			c.ExpireSuspects(now.Add(catalog.ReregistrationGrace))
		}),
	)

	// Guards against live servers that stay excluded after a drill.
	It("uses a server that was written after its end or after the first list", func() {
		c.Apply([]catalog.Item{deletion("sa", 21)}, at(21), now)
		c.Apply([]catalog.Item{ready(0, 22)}, at(22), now)
		c.Replace([]catalog.Item{ready(1, 10)}, era1(12), now)
		Expect(usableIDs(c)).To(Equal([]string{"a"}), "its last known state was ready")
		c.Apply([]catalog.Item{inEra(1, deletion("sa", 13))}, era1(13), now.Add(time.Hour))
		c.Replace([]catalog.Item{ready(2, 10)}, catalog.Version{Era: 2, Revision: 12}, now)
		Expect(usableIDs(c)).To(BeEmpty())
		c.Apply([]catalog.Item{ready(2, 13)}, catalog.Version{Era: 2, Revision: 13}, now)
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	// Guards against a restarted server that is idle because its former record came back.
	It("keeps a server whose newer incarnation is missing as suspect", func() {
		c.Apply([]catalog.Item{serverItem("a", 21, born(200))}, at(21), now)
		c.Replace([]catalog.Item{ready(1, 10)}, era1(12), now)
		Expect(c.View().Servers["a"].Suspect).To(BeTrue())
		Expect(c.View().Servers["a"].StartUnixMillis).To(BeEquivalentTo(200))
		c.ExpireSuspects(now.Add(catalog.ReregistrationGrace))
		Expect(usableIDs(c)).To(BeEmpty())
		c.Apply([]catalog.Item{inEra(1, serverItem("a", 13, born(200)))}, era1(13), now)
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	// Guards against a former incarnation that takes the place of the present one at a node
	// that didn't see it end: it started since, or the present one drained and came back.
	DescribeTable("doesn't take a restored record of an incarnation before the known one",
		func(learn func(*catalog.Catalog)) {
			c = catalog.New(jsonDecoder{}, telemetry.Silent())
			learn(c)
			Expect(usableIDs(c)).To(Equal([]string{"a"}))
			c.Replace([]catalog.Item{ready(1, 10)}, era1(12), now)
			Expect(c.View().Servers["a"].StartUnixMillis).To(BeEquivalentTo(200))
			c.ExpireSuspects(now.Add(catalog.ReregistrationGrace))
			Expect(usableIDs(c)).To(BeEmpty())
			c.Apply([]catalog.Item{inEra(1, serverItem("a", 13, born(200)))}, era1(13), now)
			Expect(usableIDs(c)).To(Equal([]string{"a"}))
		},
		Entry("it started since", func(c *catalog.Catalog) {
			c.Replace([]catalog.Item{serverItem("a", 21, born(200))}, at(22), now)
		}),
		Entry("the present one drained and came back", func(c *catalog.Catalog) {
			c.Replace([]catalog.Item{ready(0, 10)}, at(20), now)
			c.Apply([]catalog.Item{serverItem("a", 21, born(200))}, at(21), now)
			c.Apply([]catalog.Item{serverItem("a", 22, born(200), draining)}, at(22), now)
			c.Apply([]catalog.Item{serverItem("a", 23, born(200))}, at(23), now)
		}),
	)

	// Guards against a clock that was set back: the start times of a server's incarnations
	// decide only for records that the restored copy may hold.
	It("takes an incarnation that started earlier and was written after the first list", func() {
		c.Replace([]catalog.Item{ready(1, 10)}, era1(12), now)
		c.Apply([]catalog.Item{inEra(1, serverItem("a", 13, born(50)))}, era1(13), now)
		Expect(c.View().Servers["a"].StartUnixMillis).To(BeEquivalentTo(50))
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	// Guards against requests to a data centre whose evacuation was lost.
	It("keeps a missing evacuation for the grace period", func() {
		evacuation := catalog.Item{Key: "enorth", Version: at(21), Value: []byte("{}")}
		c.Apply([]catalog.Item{evacuation}, at(21), now)
		c.Replace([]catalog.Item{ready(1, 10)}, era1(12), now)
		c.ExpireSuspects(now.Add(catalog.ReregistrationGrace - time.Millisecond))
		Expect(c.View().Evacuated).To(HaveKey("north"))
		c.ExpireSuspects(now.Add(catalog.ReregistrationGrace))
		Expect(c.View().Evacuated).To(BeEmpty())
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	It("keeps an evacuation that is written again within the grace period, and ends it by a deletion at once", func() {
		evacuation := catalog.Item{Key: "enorth", Version: at(21), Value: []byte("{}")}
		c.Apply([]catalog.Item{evacuation}, at(21), now)
		c.Replace(nil, era1(12), now)
		c.Apply([]catalog.Item{inEra(1, catalog.Item{Key: "enorth", Version: at(13), Value: []byte("{}")})}, era1(13), now)
		c.ExpireSuspects(now.Add(time.Hour))
		Expect(c.View().Evacuated).To(HaveKey("north"))
		c.Apply([]catalog.Item{inEra(1, deletion("enorth", 14))}, era1(14), now)
		Expect(c.View().Evacuated).To(BeEmpty())
	})
})

// A record that is read again in a new era must not make a warm server cold.
func TestWarmUpDoesNotStartAnewWithAnEra(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := catalog.New(jsonDecoder{}, telemetry.Silent())
	cold := serverItem("a", 1, func(s *mesh.Server) { s.ColdFor = 3 * time.Second })
	c.Replace([]catalog.Item{cold}, at(1), now)
	until := c.View().Servers["a"].ColdUntil
	c.Replace([]catalog.Item{inEra(1, cold)}, catalog.Version{Era: 1, Revision: 1}, now.Add(time.Minute))
	g.Expect(c.View().Servers["a"].ColdUntil).To(Equal(until))
}

// Entries and the gate mark a server as leaving while the catalog enters a new era. Guards,
// under the race detector, against a mark that is lost in between.
func TestLeavingMarkSurvivesConcurrentRestore(t *testing.T) {
	for range 50 {
		now := time.Unix(1000, 0)
		c := catalog.New(jsonDecoder{}, telemetry.Silent())
		c.Replace([]catalog.Item{serverItem("a", 1)}, at(5), now)
		server := c.View().Servers["a"].Server
		var work sync.WaitGroup
		work.Go(func() { c.MarkLeaving(server) })
		work.Go(func() { c.MarkLeaving(server) })
		for era := uint64(1); era < 4; era++ {
			work.Go(func() {
				c.Replace([]catalog.Item{inEra(era, serverItem("a", 1))}, catalog.Version{Era: era, Revision: 2}, now)
				c.ExpireSuspects(now)
			})
		}
		work.Wait()
		if c.View().IsUsable("a") || c.Version() != (catalog.Version{Era: 3, Revision: 2}) {
			t.Fatalf("version %v, usable %v", c.Version(), c.View().IsUsable("a"))
		}
	}
}

// drillStore is a store with eras: what it had at each version.
type drillStore struct {
	version catalog.Version
	items   map[string]catalog.Item
	// states holds, by revision, the items of the present era's history.
	states map[uint64]map[string]catalog.Item
	events []catalog.Item
	// had holds the version of each item that existed at a version of the store.
	had map[catalog.Version]map[string]catalog.Version
}

func newDrillStore() *drillStore {
	return &drillStore{
		items: map[string]catalog.Item{}, states: map[uint64]map[string]catalog.Item{}, had: map[catalog.Version]map[string]catalog.Version{},
	}
}

// record keeps what the store has now.
func (s *drillStore) record() {
	versions := map[string]catalog.Version{}
	for key, item := range s.items {
		versions[key] = item.Version
	}
	s.had[s.version] = versions
}

func (s *drillStore) write(item catalog.Item) {
	s.version.Revision++
	item.Version = s.version
	s.items = maps.Clone(s.items)
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.states[s.version.Revision] = s.items
	s.events = append(s.events, item)
	s.record()
}

func (s *drillStore) restore(revision uint64) {
	s.version = catalog.Version{Era: s.version.Era + 1, Revision: revision}
	states := map[uint64]map[string]catalog.Item{}
	for past, items := range s.states {
		if past > revision {
			continue
		}
		states[past] = map[string]catalog.Item{}
		for key, item := range items {
			states[past][key] = inEra(s.version.Era, item)
		}
	}
	s.states, s.items = states, states[revision]
	events := s.events[:0:0]
	for _, event := range s.events {
		if event.Version.Revision <= revision {
			events = append(events, inEra(s.version.Era, event))
		}
	}
	s.events = events
	s.record()
}

// response is a list, an answer to a watch or a peer's copy that is on its way.
type response struct {
	list    bool
	items   []catalog.Item
	after   catalog.Version
	version catalog.Version
	changes catalog.Changes
}

func (s *drillStore) list() response {
	r := response{list: true, version: s.version}
	for _, item := range s.items {
		r.items = append(r.items, item)
	}
	return r
}

// watch returns the events after a version, and false if the store lacks that revision.
func (s *drillStore) watch(after catalog.Version) (response, bool) {
	r := response{after: after, version: s.version}
	for _, event := range s.events {
		if event.Version.Revision > after.Revision {
			r.items = append(r.items, event)
		}
	}
	return r, after.Revision <= s.version.Revision
}

// drillNode is a catalog with the responses that are on their way to it, and what it must
// never unlearn.
type drillNode struct {
	*catalog.Catalog
	pending []response
	newest  catalog.Version
	config  uint64
	// ended holds the newest start time of each server that this node knew to be draining,
	// leaving or gone.
	ended map[mesh.ServerID]int64
	// listed holds the servers at the last check.
	listed map[mesh.ServerID]*catalog.Listing
}

func newDrillNode() *drillNode {
	return &drillNode{Catalog: catalog.New(jsonDecoder{}, telemetry.Silent()), ended: map[mesh.ServerID]int64{}}
}

func (n *drillNode) receive(r response, now time.Time) {
	switch {
	case r.list:
		n.Replace(r.items, r.version, now)
	case r.changes.Version.IsZero():
		if r.after.Era == r.version.Era { // otherwise the feed lists again
			n.Apply(r.items, r.version, now)
		}
	default:
		n.Merge(r.changes, now)
	}
}

// check fails if the node took an older copy for a newer one, or would send requests to a
// server that must not get any. Incarnations are never started twice in this test, and a
// server that ended never becomes ready again.
func (n *drillNode) check(t *rapid.T, store *drillStore) {
	v := n.View()
	got := map[string]catalog.Version{}
	for _, item := range n.ChangesSince(catalog.Version{}).Items {
		got[item.Key] = item.Version
	}
	if want := store.had[v.Version]; !v.Version.IsZero() && !maps.Equal(got, want) {
		t.Fatalf("at %v: %v, want %v", v.Version, got, want)
	}
	if n.newest.IsNewerThan(v.Version) {
		t.Fatalf("version %v after %v", v.Version, n.newest)
	}
	n.newest = v.Version
	if v.Config != nil {
		if v.Config.Version < n.config {
			t.Fatalf("configuration %d after %d", v.Config.Version, n.config)
		}
		n.config = v.Config.Version
	}
	for id, started := range n.ended {
		if l := v.Servers[id]; l != nil && l.StartUnixMillis <= started && v.IsUsable(id) {
			t.Fatalf("server %s, started at %d, is usable after its end", id, l.StartUnixMillis)
		}
	}
	for id, l := range n.listed {
		if now := v.Servers[id]; now == nil || now.StartUnixMillis > l.StartUnixMillis || !l.AcceptsRequests() {
			n.ended[id] = max(n.ended[id], l.StartUnixMillis)
		}
	}
	n.listed = v.Servers
}

// TestDrillsKeepCopiesOrdered draws writes, drills, late lists and events, 410s, copies
// between nodes and restarts of nodes. It guards against an older copy that is taken for a
// newer one, against servers that a restored record revives, and against copies that
// differ from the store in the end.
func TestDrillsKeepCopiesOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := newDrillStore()
		started, version := int64(0), uint64(0)
		life := map[string]*mesh.Server{} // the newest incarnations
		put := func(name string, state mesh.ServerState) {
			server := life[name]
			server.State = state
			store.write(catalog.Item{Key: "s" + name, Value: mustMarshal(server)})
		}
		start := func(name string) {
			started++
			life[name] = &mesh.Server{ID: mesh.ServerID(name), Service: "orders", Address: "10.0.0." + name + ":1", DataCentre: "north", Slots: 4, StartUnixMillis: started}
			put(name, mesh.ServerReady)
		}
		nodes := []*drillNode{newDrillNode(), newDrillNode(), newDrillNode()}
		start("0")
		drawn := func() *drillNode { return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")] }
		name := func() string { return fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "name")) }
		t.Repeat(map[string]func(*rapid.T){
			"start":  func(*rapid.T) { start(name()) },
			"config": func(*rapid.T) { version++; store.write(configItem(version, 0)) },
			"end": func(t *rapid.T) {
				if name := name(); life[name] != nil && rapid.Bool().Draw(t, "drains") {
					put(name, mesh.ServerDraining)
				} else if _, listed := store.items["s"+name]; listed {
					store.write(deletion("s"+name, 0))
				}
			},
			"evacuate": func(t *rapid.T) {
				if _, listed := store.items["enorth"]; listed {
					store.write(deletion("enorth", 0))
				} else {
					store.write(catalog.Item{Key: "enorth", Value: []byte("{}")})
				}
			},
			"drill": func(t *rapid.T) {
				back := rapid.Uint64Range(0, min(6, store.version.Revision-1)).Draw(t, "lost")
				store.restore(store.version.Revision - back)
			},
			"list": func(*rapid.T) { n := drawn(); n.pending = append(n.pending, store.list()) },
			"watch": func(*rapid.T) {
				n := drawn()
				if n.Version().IsZero() {
					return
				}
				if r, ok := store.watch(n.Version()); ok {
					n.pending = append(n.pending, r)
				} else {
					n.pending = append(n.pending, store.list()) // after a 410
				}
			},
			"copy": func(*rapid.T) {
				from, to := drawn(), drawn()
				if changes := from.ChangesSince(to.Version()); !changes.Version.IsZero() {
					to.pending = append(to.pending, response{changes: changes})
				}
			},
			"old build": func(*rapid.T) { // without eras
				changes := drawn().ChangesSince(catalog.Version{})
				to := drawn()
				if to.Version().Era > 0 && changes.Version.Era > 0 {
					changes.Version.Era = 0
					to.pending = append(to.pending, response{changes: changes})
				}
			},
			"receive": func(t *rapid.T) {
				if n := drawn(); len(n.pending) > 0 {
					i := rapid.IntRange(0, len(n.pending)-1).Draw(t, "response")
					n.receive(n.pending[i], now)
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")] = newDrillNode()
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Second)
				for _, n := range nodes {
					n.ExpireSuspects(now)
				}
			},
			"store away": func(*rapid.T) { drawn().MarkStoreUnavailable() },
			"store back": func(*rapid.T) { drawn().MarkStoreAvailable(now) },
			"": func(t *rapid.T) {
				for _, n := range nodes {
					n.check(t, store)
				}
			},
		})
		for _, n := range nodes {
			n.check(t, store)
		}
		// Servers and operators write their records again, and everything settles.
		for name, server := range life {
			if server.State == mesh.ServerReady {
				put(name, mesh.ServerReady)
			}
		}
		version++
		store.write(configItem(version, 0))
		for _, n := range nodes {
			n.receive(store.list(), now)
			n.MarkStoreAvailable(now)
			n.ExpireSuspects(now.Add(2 * catalog.ReregistrationGrace))
			clear(n.ended) // the records are written again after any end
			n.check(t, store)
			_, evacuated := store.items["enorth"]
			if v := n.View(); v.Version != store.version || v.Config.Version != version || v.Evacuated["north"] != evacuated {
				t.Fatalf("at %v, want %v; configuration %d, want %d; evacuated %v, want %v",
					v.Version, store.version, v.Config.Version, version, v.Evacuated, evacuated)
			}
		}
	})
}
