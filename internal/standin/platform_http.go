package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	defaultWatchWait = 25 * time.Second
	maxWatchWait     = 60 * time.Second

	// HeaderRevision carries the revision of a value.
	HeaderRevision = "Platform-Revision"
)

// Handler returns the platform's read-only HTTP interface:
//
//	GET /v1/list                      the files, by name, revision and hash
//	GET /v1/watch?after=N&wait=25s    the same once the revision is not N
//	GET /v1/value/NAME                one file
//	GET /v1/hosts                     the host list
//	GET /v1/hosts/watch?after=N&wait=25s
//
// 429 is a call over the limit, 503 an outage, 304 a watch without a change.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, _ *http.Request) {
		listing, _ := p.list()
		writeJSON(w, listing)
	})
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		watch(w, r, p, func() (uint64, any, <-chan struct{}) {
			listing, changed := p.list()
			return listing.Revision, listing, changed
		})
	})
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		list, _ := p.hostList()
		writeJSON(w, list)
	})
	mux.HandleFunc("GET /v1/hosts/watch", func(w http.ResponseWriter, r *http.Request) {
		watch(w, r, p, func() (uint64, any, <-chan struct{}) {
			list, changed := p.hostList()
			return list.Revision, list, changed
		})
	})
	mux.HandleFunc("GET /v1/value/{name}", p.serveValue)
	return p.limited(mux)
}

// limited counts each call against the limit and refuses all in an outage.
func (p *Platform) limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.outage.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !p.limiter.Allow() {
			p.refused.Add(1)
			http.Error(w, "over the read limit", http.StatusTooManyRequests)
			return
		}
		p.reads.Add(1)
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	v, ok := p.value(r.PathValue("name"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.data)
}

// watch answers once the revision is not the one named, or 304 after a wait.
func watch(w http.ResponseWriter, r *http.Request, p *Platform, read func() (uint64, any, <-chan struct{})) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWatchWait
	}
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for {
		revision, body, changed := read()
		if revision != after {
			writeJSON(w, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
		if p.outage.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
