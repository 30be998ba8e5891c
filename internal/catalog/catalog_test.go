package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"boragefall/internal/catalog"
	"boragefall/internal/mesh"
	"boragefall/internal/telemetry"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

// jsonDecoder decodes items whose key starts with a letter for the subject and whose
// value is the JSON form of a mesh type.
type jsonDecoder struct{}

func (jsonDecoder) Decode(item catalog.Item) (catalog.Record, error) {
	subject, name := item.Key[:1], item.Key[1:]
	switch subject {
	case "c":
		r := catalog.Record{Subject: catalog.SubjectConfig}
		if !item.Deleted {
			r.Config = &mesh.Config{}
			return r, json.Unmarshal(item.Value, r.Config)
		}
		return r, nil
	case "s":
		r := catalog.Record{Subject: catalog.SubjectServer, ServerID: mesh.ServerID(name)}
		if item.Deleted {
			return r, nil
		}
		s := &mesh.Server{}
		if err := json.Unmarshal(item.Value, s); err != nil {
			return r, eris.Wrap(err, "server")
		}
		r.Server = s
		return r, nil
	case "e":
		return catalog.Record{Subject: catalog.SubjectEvacuation, DataCentre: name}, nil
	default:
		return catalog.Record{}, nil
	}
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func configItem(version, revision uint64) catalog.Item {
	return catalog.Item{Key: "c", Version: at(revision), Value: mustMarshal(mesh.Config{Version: version})}
}

func serverItem(id string, revision uint64, change ...func(*mesh.Server)) catalog.Item {
	s := mesh.Server{ID: mesh.ServerID(id), Service: "orders", Address: "10.0.0.1:1", DataCentre: "north", Slots: 4}
	for _, c := range change {
		c(&s)
	}
	return catalog.Item{Key: "s" + id, Version: at(revision), Value: mustMarshal(s)}
}

func withAddress(address string) func(*mesh.Server) {
	return func(s *mesh.Server) { s.Address = address }
}

// at returns a version of a store that never was restored.
func at(revision uint64) catalog.Version {
	return catalog.Version{Revision: revision}
}

func deletion(key string, revision uint64) catalog.Item {
	return catalog.Item{Key: key, Version: at(revision), Deleted: true}
}

func usableIDs(c *catalog.Catalog) []string {
	var ids []string
	for _, l := range c.View().Usable["orders"] {
		ids = append(ids, string(l.ID))
	}
	return ids
}

var _ = Describe("the catalog", func() {
	var c *catalog.Catalog
	now := time.Unix(1000, 0)

	BeforeEach(func() { c = catalog.New(jsonDecoder{}, telemetry.Silent()) })

	It("keeps the newest configuration when an older one arrives late", func() {
		c.Apply([]catalog.Item{configItem(7, 20)}, at(20), now)
		c.Apply([]catalog.Item{configItem(6, 19)}, at(19), now)
		c.Apply([]catalog.Item{configItem(5, 21)}, at(21), now)
		Expect(c.View().Config.Version).To(BeEquivalentTo(7))
		Expect(c.View().Version).To(Equal(at(21)))
	})

	It("keeps the configuration in force when its item can't be read", func() {
		c.Apply([]catalog.Item{configItem(7, 20)}, at(20), now)
		c.Apply([]catalog.Item{{Key: "c", Version: at(21), Value: []byte("{")}}, at(21), now)
		Expect(c.View().Config.Version).To(BeEquivalentTo(7))
	})

	It("removes a draining server from the usable servers at once, even while the store is unavailable", func() {
		c.Apply([]catalog.Item{serverItem("a", 1), serverItem("b", 2, withAddress("10.0.0.2:1"))}, at(2), now)
		c.MarkStoreUnavailable()
		c.Merge(catalog.Changes{Items: []catalog.Item{serverItem("a", 3, func(s *mesh.Server) { s.State = mesh.ServerDraining })}, Version: at(3)}, now)
		Expect(usableIDs(c)).To(Equal([]string{"b"}))
		Expect(c.View().IsUsable("a")).To(BeFalse())
	})

	It("removes a server at once when its record ends while the store is available", func() {
		c.Apply([]catalog.Item{serverItem("a", 1)}, at(1), now)
		c.Apply([]catalog.Item{deletion("sa", 2)}, at(2), now)
		Expect(usableIDs(c)).To(BeEmpty())
	})

	It("keeps a server whose record expired in a store outage, and removes it if it does not register again", func() {
		c.Apply([]catalog.Item{serverItem("a", 1), serverItem("b", 2, withAddress("10.0.0.2:1"))}, at(2), now)
		c.MarkStoreUnavailable()
		c.ExpireSuspects(now.Add(time.Hour))
		Expect(c.MarkStoreAvailable(now)).To(BeTrue())
		c.Apply([]catalog.Item{deletion("sa", 3), deletion("sb", 4)}, at(4), now)
		Expect(usableIDs(c)).To(Equal([]string{"a", "b"}))
		c.Apply([]catalog.Item{serverItem("b", 5, withAddress("10.0.0.2:1"))}, at(5), now.Add(time.Second))
		c.ExpireSuspects(now.Add(catalog.ReregistrationGrace - time.Millisecond))
		Expect(usableIDs(c)).To(Equal([]string{"a", "b"}))
		c.ExpireSuspects(now.Add(catalog.ReregistrationGrace))
		Expect(usableIDs(c)).To(Equal([]string{"b"}))
	})

	It("removes a server whose record becomes malformed and keeps the other servers", func() {
		c.Apply([]catalog.Item{serverItem("a", 1), serverItem("b", 2, withAddress("10.0.0.2:1"))}, at(2), now)
		c.MarkStoreUnavailable() // a malformed record does not count as expired
		c.Apply([]catalog.Item{{Key: "sa", Version: at(3), Value: []byte("[]")}}, at(3), now)
		Expect(usableIDs(c)).To(Equal([]string{"b"}))
	})

	It("uses only the newest server at an address", func() {
		// After a power loss, the records of crashed servers remain until they expire.
		// Each request that is sent to such a server is refused.
		c.Apply([]catalog.Item{serverItem("old", 1, func(s *mesh.Server) { s.StartUnixMillis = 100 })}, at(1), now)
		c.Apply([]catalog.Item{serverItem("new", 2, func(s *mesh.Server) { s.StartUnixMillis = 200 })}, at(2), now)
		c.Apply([]catalog.Item{serverItem("old", 3, func(s *mesh.Server) { s.StartUnixMillis = 100; s.Slots = 5 })}, at(3), now)
		Expect(usableIDs(c)).To(Equal([]string{"new"}))
		Expect(c.View().ServerAt("10.0.0.1:1").ID).To(BeEquivalentTo("new"))
	})

	It("excludes the servers of a data centre while it is evacuated", func() {
		c.Apply([]catalog.Item{serverItem("a", 1)}, at(1), now)
		c.Apply([]catalog.Item{{Key: "enorth", Version: at(2), Value: []byte("{}")}}, at(2), now)
		Expect(usableIDs(c)).To(BeEmpty())
		Expect(c.View().IsUsable("a")).To(BeFalse())
		c.Apply([]catalog.Item{deletion("enorth", 3)}, at(3), now)
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	It("deletes items that are missing from a complete list, except items newer than the list", func() {
		c.Apply([]catalog.Item{serverItem("a", 1), serverItem("b", 9, withAddress("10.0.0.2:1"))}, at(9), now)
		c.Replace(nil, at(5), now)
		Expect(usableIDs(c)).To(Equal([]string{"b"}))
	})

	It("ignores a peer's copy with an older revision", func() {
		c.Apply([]catalog.Item{serverItem("a", 8)}, at(8), now)
		c.Merge(catalog.Changes{Complete: true, Version: at(5)}, now)
		Expect(usableIDs(c)).To(Equal([]string{"a"}))
	})

	It("keeps the time at which an incarnation was first seen and updates the end of its warm-up", func() {
		c.Apply([]catalog.Item{serverItem("a", 1, func(s *mesh.Server) { s.ColdFor = 3 * time.Second })}, at(1), now)
		c.Apply([]catalog.Item{serverItem("a", 2)}, at(2), now.Add(time.Second))
		l := c.View().Servers["a"]
		Expect(l.FirstSeen).To(Equal(now))
		Expect(l.ColdUntil.IsZero()).To(BeTrue())
	})
})

// TestDiscardedTombstonesForceCompleteTransfer requests the changes since a revision
// whose later tombstones were discarded. Without a complete transfer the follower would
// keep the deleted servers.
func TestDiscardedTombstonesForceCompleteTransfer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	source, follower := catalog.New(jsonDecoder{}, telemetry.Silent()), catalog.New(jsonDecoder{}, telemetry.Silent())
	source.Apply([]catalog.Item{serverItem("first", 1)}, at(1), now)
	follower.Merge(atTestTime(source.ChangesSince(at(0))))
	revision := uint64(1)
	for i := range 600 {
		name := fmt.Sprint("s", i)
		source.Apply([]catalog.Item{serverItem(name, revision+1), deletion("s"+name, revision+2)}, at(revision+2), now)
		revision += 2
	}
	source.Apply([]catalog.Item{deletion("sfirst", revision+1)}, at(revision+1), now)
	items := source.ChangesSince(at(0)).Items
	g.Expect(items).To(BeEmpty())
	follower.Merge(atTestTime(source.ChangesSince(follower.Version())))
	g.Expect(summary(follower)).To(Equal(summary(source)))
}

// TestEventOrderDoesNotChangeView applies the same events to one catalog in order, and
// to others in random order and twice, by a peer's copy, and by incremental changes.
func TestEventOrderDoesNotChangeView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var events []catalog.Item
		for revision := uint64(1); revision <= uint64(rapid.IntRange(1, 30).Draw(t, "events")); revision++ {
			name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				events = append(events, serverItem(name, revision, withAddress("10.0.0."+name+":1")))
			case 1:
				events = append(events, deletion("s"+name, revision))
			case 2:
				events = append(events, configItem(revision, revision))
			case 3:
				events = append(events, catalog.Item{Key: "enorth", Version: at(revision), Deleted: rapid.Bool().Draw(t, "back")})
			}
		}
		last := events[len(events)-1].Version
		ordered := catalog.New(jsonDecoder{}, telemetry.Silent())
		ordered.Apply(events, last, now)
		reordered := catalog.New(jsonDecoder{}, telemetry.Silent())
		for range 2 {
			for _, i := range rapid.Permutation(indexes(len(events))).Draw(t, "order") {
				before := reordered.View().Config
				reordered.Apply(events[i:i+1], at(0), now)
				if after := reordered.View().Config; before != nil && after.Version < before.Version {
					t.Fatalf("version %d after %d", after.Version, before.Version)
				}
			}
		}
		peer := catalog.New(jsonDecoder{}, telemetry.Silent())
		peer.Merge(atTestTime(ordered.ChangesSince(at(0))))
		// A follower requests the changes since its last request.
		follower := catalog.New(jsonDecoder{}, telemetry.Silent())
		source := catalog.New(jsonDecoder{}, telemetry.Silent())
		for i, event := range events {
			source.Apply(events[i:i+1], event.Version, now)
			if rapid.Bool().Draw(t, "asks") || i == len(events)-1 {
				follower.Merge(atTestTime(source.ChangesSince(follower.Version())))
			}
		}
		for _, c := range []*catalog.Catalog{reordered, peer, follower} {
			if got, want := summary(c), summary(ordered); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		}
	})
}

func atTestTime(changes catalog.Changes) (catalog.Changes, time.Time) {
	return changes, time.Unix(1000, 0)
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func summary(c *catalog.Catalog) string {
	v := c.View()
	version := uint64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	ids := map[mesh.ServerID]bool{}
	for id := range v.Servers {
		ids[id] = true
	}
	return fmt.Sprint(version, ids, v.Evacuated)
}

// blockingDecoder decodes only once it is released.
type blockingDecoder struct {
	entered  chan struct{}
	released chan struct{}
}

func (d blockingDecoder) Decode(item catalog.Item) (catalog.Record, error) {
	d.entered <- struct{}{}
	<-d.released
	return jsonDecoder{}.Decode(item)
}

// Followers query the copy of a node while it decodes a large configuration.
func TestCatalogAnswersWhileItDecodes(t *testing.T) {
	decoder := blockingDecoder{entered: make(chan struct{}), released: make(chan struct{})}
	c := catalog.New(decoder, telemetry.Silent())
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		c.Apply([]catalog.Item{{Key: "enorth", Version: at(7)}}, at(7), time.Unix(0, 0))
	}()
	<-decoder.entered
	if revision := c.Version(); revision != at(0) { // blocks if the lock is held
		t.Errorf("version %v before the item was decoded", revision)
	}
	close(decoder.released)
	<-applied
	if revision := c.Version(); revision != at(7) {
		t.Errorf("version %v after the item was applied, want 7", revision)
	}
}
