package standin

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MetaStoreMode says how a MetaStore answers.
type MetaStoreMode uint8

// Modes of a MetaStore.
const (
	MetaStoreUp MetaStoreMode = iota
	// MetaStoreBusy answers 503.
	MetaStoreBusy
	// MetaStoreSilent never answers.
	MetaStoreSilent
)

// metaPage is the number of items on a page of a list. It is small, so that
// tests meet several pages.
const metaPage = 50

// metaItem is an item as the store's answers hold it.
type metaItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"tombstone,omitempty"`
}

// headerStoreEra states how often the store was restored from an older copy.
const headerStoreEra = "Store-Era"

// MetaStore stands in for the platform's metadata store. It is safe for
// concurrent use.
type MetaStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]metaItem
	events   []metaItem
	// floor is the revision up to which history is gone.
	floor uint64
	// era counts the restores. Before the first one, responses don't state it.
	era     uint64
	changed chan struct{}
	mode    MetaStoreMode
	reads   int
}

// NewMetaStore returns an empty store.
func NewMetaStore() *MetaStore {
	return &MetaStore{revision: 1, items: map[string]metaItem{}, changed: make(chan struct{})}
}

// Put writes a key and returns the revision.
func (s *MetaStore) Put(key string, value any) uint64 {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err) // only for types that no test writes
		}
	}
	return s.write(metaItem{Key: key, Value: data})
}

// Delete removes a key and returns the revision.
func (s *MetaStore) Delete(key string) uint64 {
	return s.write(metaItem{Key: key, Deleted: true})
}

func (s *MetaStore) write(item metaItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision, item.Created = s.revision, s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.events = append(s.events, item)
	s.wake()
	return s.revision
}

// Compact forgets the history.
func (s *MetaStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.events = s.revision, nil
	s.wake()
}

// MetaCopy is a copy of a MetaStore's content.
type MetaCopy struct {
	revision, floor uint64
	items           map[string]metaItem
	events          []metaItem
}

// Copy returns a copy from which the store can be restored.
func (s *MetaStore) Copy() MetaCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MetaCopy{revision: s.revision, floor: s.floor, items: maps.Clone(s.items), events: slices.Clone(s.events)}
}

// Restore replaces the content by a copy and begins the next era. Later writes are lost, and
// their revisions are assigned again.
func (s *MetaStore) Restore(c MetaCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.floor, s.items, s.events = c.revision, c.floor, maps.Clone(c.items), slices.Clone(c.events)
	s.era++
	s.wake()
}

// SetMode says how the store answers from now on.
func (s *MetaStore) SetMode(mode MetaStoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.wake()
}

// Reads returns the number of calls so far.
func (s *MetaStore) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *MetaStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the store's calls.
func (s *MetaStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.answered(s.serveRange))
	mux.HandleFunc("GET /kv-watch", s.answered(s.serveWatch))
	return mux
}

// answered counts a call and answers it by the mode.
func (s *MetaStore) answered(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.reads++
		mode, era := s.mode, s.era
		s.mu.Unlock()
		setEra(w, era)
		switch mode {
		case MetaStoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case MetaStoreSilent:
			<-r.Context().Done()
		default:
			next(w, r)
		}
	}
}

func (s *MetaStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []metaItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision, era := s.revision, s.era
	s.mu.Unlock()
	setEra(w, era)
	slices.SortFunc(items, func(a, b metaItem) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > metaPage
	if more {
		items = items[:metaPage]
	}
	writeAnswer(w, map[string]any{"items": items, "truncated": more, "current_rev": revision})
}

func (s *MetaStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, known, gone, changed := s.since(after, query.Get("prefix"))
		setEra(w, known.era)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeAnswer(w, map[string]any{"events": events, "current_rev": known.revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeAnswer(w, map[string]any{"events": events, "current_rev": known.revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// metaPosition is a revision of an era.
type metaPosition struct {
	era, revision uint64
}

// since returns the events after a revision. gone reports that the store does not hold all
// of them: they were compacted, or it does not have that revision.
func (s *MetaStore) since(after uint64, prefix string) (events []metaItem, known metaPosition, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []metaItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, metaPosition{era: s.era, revision: s.revision}, after < s.floor || after > s.revision, s.changed
}

// setEra states the era in a response.
func setEra(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set(headerStoreEra, strconv.FormatUint(era, 10))
	}
}

func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the reader has left
}
