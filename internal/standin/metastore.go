package standin

import (
	"cmp"
	"encoding/json"
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

// MetaStore stands in for the platform's metadata store. It is safe for
// concurrent use.
type MetaStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]metaItem
	events   []metaItem
	// floor is the revision up to which history is gone.
	floor   uint64
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
		mode := s.mode
		s.mu.Unlock()
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
	revision := s.revision
	s.mu.Unlock()
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
		events, revision, gone, changed := s.since(after, query.Get("prefix"))
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeAnswer(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeAnswer(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *MetaStore) since(after uint64, prefix string) (events []metaItem, revision uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []metaItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, after < s.floor, s.changed
}

func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the reader has left
}
