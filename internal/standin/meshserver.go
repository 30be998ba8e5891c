package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MeshServerConfig describes a backend server on the platform.
type MeshServerConfig struct {
	// Address is where it listens, IP:port.
	Address string
	// Service and Zone go into its entry.
	Service, Zone string
	// Slots is the number of requests run at once; more are turned away.
	Slots int
	// Work is the time of a request.
	Work time.Duration
	// ColdFor is how long it is cold after a start other than the first.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that it bears while cold.
	ColdRate float64
}

// MeshRun is a request that a MeshServer began to run.
type MeshRun struct {
	ID     string
	Server string
	At     time.Time
	Cold   bool
	Caller string
	// Workspace is the workspace that the request named, and Credentials what it carried
	// of its caller's.
	Workspace, Credentials string
}

// MeshRecord is what the servers of a test ran. It is safe for concurrent use.
type MeshRecord struct {
	mu   sync.Mutex
	runs []MeshRun
}

// Runs returns a copy.
func (r *MeshRecord) Runs() []MeshRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]MeshRun(nil), r.runs...)
}

func (r *MeshRecord) add(run MeshRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// MeshServer stands in for a backend server on the platform. It registers
// itself in a MetaStore.
type MeshServer struct {
	cfg    MeshServerConfig
	store  *MetaStore
	record *MeshRecord

	mu     sync.Mutex
	life   *meshLife
	starts int
	// fault, if set, reports whether the answer to a request that ran is lost.
	fault   func(*http.Request) bool
	running atomic.Int64
}

// meshLife is one incarnation.
type meshLife struct {
	id        string
	born      time.Time
	coldUntil time.Time
	server    *http.Server
	draining  atomic.Bool
	// statements holds headers that the server adds to every answer, by name.
	statements sync.Map
}

// NewMeshServer starts a server that writes into a record.
func NewMeshServer(cfg MeshServerConfig, store *MetaStore, record *MeshRecord) (*MeshServer, error) {
	s := &MeshServer{cfg: cfg, store: store, record: record}
	return s, s.Start()
}

// Start starts a new incarnation.
func (s *MeshServer) Start() error {
	listener, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	now := time.Now()
	life := &meshLife{id: fmt.Sprintf("i-%x-%d", xxhash.Sum64String(s.cfg.Address), s.starts), born: now}
	if s.starts > 1 {
		life.coldUntil = now.Add(s.cfg.ColdFor)
	}
	life.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(life, w, r) }),
		ReadHeaderTimeout: time.Minute,
	}
	s.life = life
	s.running.Store(0)
	s.register(life)
	go func() { _ = life.server.Serve(listener) }() // it ends with Close
	return nil
}

// ID returns the id of the present incarnation.
func (s *MeshServer) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.id
}

// Drain reports that the server leaves. It goes on serving.
func (s *MeshServer) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life.draining.Store(true)
	s.register(s.life)
}

// State adds a header to every answer of this incarnation; an empty value ends that.
func (s *MeshServer) State(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == "" {
		s.life.statements.Delete(name)
		return
	}
	s.life.statements.Store(name, value)
}

// SetFault sets a function that is called while a request runs. The server resets the
// connection instead of answering if it returns true.
func (s *MeshServer) SetFault(fault func(*http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Crash ends the incarnation at once; its entry stays.
func (s *MeshServer) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.life.server.Close() // nothing is left to do with it
}

// Leave ends the incarnation and removes its entry.
func (s *MeshServer) Leave() {
	s.Crash()
	s.store.Delete("servers/" + s.ID())
}

func (s *MeshServer) register(l *meshLife) {
	state := "ready"
	if l.draining.Load() {
		state = "draining"
	}
	s.store.Put("servers/"+l.id, map[string]any{
		"address": s.cfg.Address, "born": l.born.UnixMilli(),
		"info":   map[string]any{"service": s.cfg.Service, "zone": s.cfg.Zone, "version": "v1", "slots": s.cfg.Slots},
		"status": map[string]any{"state": state, "seq": 1, "cold_remaining": fmt.Sprintf("%dms", l.coldLeft())},
	})
}

func (l *meshLife) coldLeft() int64 {
	return max(time.Until(l.coldUntil).Milliseconds(), 0)
}

func (s *MeshServer) serve(l *meshLife, w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Instance-Id", l.id)
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.cfg.Slots))
	l.statements.Range(func(name, value any) bool {
		header.Set(name.(string), value.(string))
		return true
	})
	if r.URL.Path == "/health" {
		header.Set("Cold-Ms", strconv.FormatInt(l.coldLeft(), 10))
		if l.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if want := r.Header.Get("Target-Instance"); want != "" && want != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer s.running.Add(-1)
	if s.running.Add(1) > int64(s.cfg.Slots) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the node broke off
	}
	s.record.add(MeshRun{
		ID: id, Server: l.id, At: time.Now(), Cold: l.coldLeft() > 0, Caller: r.Header.Get("Caller-Service"),
		Workspace: r.Header.Get("Tenant"), Credentials: r.Header.Get("Authorization"),
	})
	select {
	case <-time.After(s.cfg.Work):
	case <-r.Context().Done():
		return
	}
	if s.loses(r) {
		panic(http.ErrAbortHandler)
	}
	answer := MeshAnswer(id, len(body))
	header.Set("Response-Signature", MeshSignature(answer))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer) // the node has left
}

func (s *MeshServer) loses(r *http.Request) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	return fault != nil && fault(r)
}

// MeshAnswer returns the body with which servers answer a request.
func MeshAnswer(id string, bodyBytes int) []byte {
	return fmt.Appendf(nil, "request %s had %d bytes\n", id, bodyBytes)
}

// MeshSignature vouches for an answer.
func MeshSignature(answer []byte) string {
	return strconv.FormatUint(xxhash.Sum64(answer), 16)
}
