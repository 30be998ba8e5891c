package catalog_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/catalog"
	"boragefall/internal/telemetry"
)

// storeHistory is a store with all of its past states.
type storeHistory struct {
	revision uint64
	events   []catalog.Item
	// states holds, by revision, the revision of each item that existed.
	states []map[string]uint64
}

func newStoreHistory() *storeHistory {
	s := &storeHistory{states: []map[string]uint64{{}}}
	s.put("s0")
	return s
}

func (s *storeHistory) put(key string) {
	s.change(serverItem(key[1:], s.revision+1))
}

func (s *storeHistory) delete(key string) {
	if _, ok := s.states[s.revision][key]; ok {
		s.change(deletion(key, s.revision+1))
	}
}

func (s *storeHistory) change(item catalog.Item) {
	state := maps.Clone(s.states[s.revision])
	s.revision++
	if item.Deleted {
		delete(state, item.Key)
	} else {
		state[item.Key] = s.revision
	}
	s.events, s.states = append(s.events, item), append(s.states, state)
}

// list returns all items at a revision.
func (s *storeHistory) list(revision uint64) []catalog.Item {
	var items []catalog.Item
	for key, changed := range s.states[revision] {
		items = append(items, s.events[changed-1])
		Expect(items[len(items)-1].Key).To(Equal(key))
	}
	return items
}

// replica is a catalog with a list that it requested before.
type replica struct {
	*catalog.Catalog
	listed         []catalog.Item
	listedRevision uint64
}

// check fails unless a replica holds just what the store had at the replica's revision.
func (s *storeHistory) check(t *rapid.T, r *replica) {
	changes := r.ChangesSince(at(0))
	got := map[string]uint64{}
	for _, item := range changes.Items {
		got[item.Key] = item.Version.Revision
	}
	if revision := changes.Version.Revision; revision > 0 && (!changes.Complete || !maps.Equal(got, s.states[revision])) {
		t.Fatalf("at revision %d: %v, want %v", revision, got, s.states[revision])
	}
}

// TestReplicasHoldWhatTheStoreHad draws lists, also late ones, events and copies between
// two replicas. It guards against a change that a replica takes over without the
// deletions, so that it keeps a server that is gone.
func TestReplicasHoldWhatTheStoreHad(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		store := newStoreHistory()
		now := time.Unix(1000, 0)
		var replicas [2]*replica
		for i := range replicas {
			replicas[i] = &replica{Catalog: catalog.New(jsonDecoder{}, telemetry.Silent())}
		}
		key := func() string { return fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "key")) }
		drawn := func() *replica { return replicas[rapid.IntRange(0, 1).Draw(t, "replica")] }
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(*rapid.T) { store.put(key()) },
			"delete": func(*rapid.T) { store.delete(key()) },
			"churn": func(*rapid.T) { // more tombstones than a replica keeps
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				for i := range 260 {
					store.put(fmt.Sprint("s-", i))
					store.delete(fmt.Sprint("s-", i))
				}
			},
			"request a list": func(*rapid.T) {
				r := drawn()
				r.listed, r.listedRevision = store.list(store.revision), store.revision
			},
			"list": func(*rapid.T) { drawn().Replace(store.list(store.revision), at(store.revision), now) },
			"apply the list": func(*rapid.T) {
				if r := drawn(); r.listedRevision > 0 {
					r.Replace(r.listed, at(r.listedRevision), now)
				}
			},
			"apply events": func(*rapid.T) {
				if r := drawn(); r.Version().Revision > 0 {
					from := rapid.Uint64Range(0, r.Version().Revision).Draw(t, "from")
					r.Apply(store.events[from:], at(store.revision), now)
				}
			},
			"copy": func(*rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "replica")
				replicas[i].Merge(replicas[1-i].ChangesSince(replicas[i].Version()), now)
			},
			"": func(t *rapid.T) {
				for _, r := range replicas {
					store.check(t, r)
				}
			},
		})
	})
}

var _ = Describe("a replica that starts from a list", func() {
	// Guards against copies of everything where a few changes are enough: of a reader's
	// followers, each is at revisions of its own.
	It("has no gaps in what it learns from a replica without gaps", func() {
		now := time.Unix(1000, 0)
		store := newStoreHistory()
		reader, follower := catalog.New(jsonDecoder{}, telemetry.Silent()), catalog.New(jsonDecoder{}, telemetry.Silent())
		reader.Replace(store.list(1), at(1), now)
		follower.Merge(reader.ChangesSince(at(0)), now)
		for range 5 {
			store.put("s1")
		}
		reader.Apply(store.events[1:], at(store.revision), now)
		follower.Merge(reader.ChangesSince(follower.Version()), now)
		for revision := uint64(1); revision < store.revision; revision++ {
			Expect(follower.ChangesSince(at(revision)).Complete).To(BeFalse())
		}
	})

	// Guards against a follower that keeps a server which is gone: its upstream was
	// restarted after the deletion and holds no tombstone for it.
	It("answers an older follower with all items", func() {
		now := time.Unix(1000, 0)
		store := newStoreHistory()
		store.put("s1")
		follower := catalog.New(jsonDecoder{}, telemetry.Silent())
		follower.Replace(store.list(2), at(2), now)
		store.delete("s1")
		upstream := catalog.New(jsonDecoder{}, telemetry.Silent())
		upstream.Replace(store.list(3), at(3), now)
		follower.Merge(upstream.ChangesSince(follower.Version()), now)
		Expect(follower.View().Servers).NotTo(HaveKey(BeEquivalentTo("1")))
	})
})
