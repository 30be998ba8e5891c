package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// ServerConfig describes a stand-in backend server.
type ServerConfig struct {
	// Host names the host in the record.
	Host host.ID
	// Listen is the address, IP:port. Default 127.0.0.1:0.
	Listen string
	// Slots is the number of requests run at once; more are shed. Default 10.
	Slots int
	// Connections caps the open connections; more are closed. Default 120.
	Connections int
	// ColdLimit is the number of requests that a cold server bears; more make
	// it crash. Default 2.
	ColdLimit int
	// WarmAfter is the number of answers after which it is warm. Default 50.
	WarmAfter int
	// WorkTime is the mean run time of a request. Default 2 ms.
	WorkTime time.Duration
	// ExactWorkTime makes every run last exactly WorkTime, which may then be 0,
	// cold or warm. Default false.
	ExactWorkTime bool
	// RestartTime is the time from a crash to the next process. Default 500 ms.
	RestartTime time.Duration
	// StartWarm starts the first process warm. Default false.
	StartWarm bool
}

func (c ServerConfig) withDefaults() ServerConfig {
	defaults := ServerConfig{
		Listen: "127.0.0.1:0", Slots: 10, Connections: 120, ColdLimit: 2,
		WarmAfter: 50, WorkTime: 2 * time.Millisecond, RestartTime: 500 * time.Millisecond,
	}
	if c.Listen == "" {
		c.Listen = defaults.Listen
	}
	if c.Slots == 0 {
		c.Slots = defaults.Slots
	}
	if c.Connections == 0 {
		c.Connections = defaults.Connections
	}
	if c.ColdLimit == 0 {
		c.ColdLimit = defaults.ColdLimit
	}
	if c.WarmAfter == 0 {
		c.WarmAfter = defaults.WarmAfter
	}
	if c.WorkTime == 0 && !c.ExactWorkTime {
		c.WorkTime = defaults.WorkTime
	}
	if c.RestartTime == 0 {
		c.RestartTime = defaults.RestartTime
	}
	return c
}

// Paths and headers of the stand-in's behaviour.
const (
	PathHealth   = "/standin/health"
	PathLoad     = "/standin/load"
	HeaderPoison = "Standin-Poison" // a request that crashes the server
	HeaderEcho   = "Standin-Echo"   // answer with the request's body
	HeaderSize   = "Standin-Size"   // answer with so many bytes
)

// Server is a backend server that can be cold, shed load, drain and crash.
type Server struct {
	cfg    ServerConfig
	record *Record

	running atomic.Int64
	good    atomic.Int64
	lie     atomic.Bool
	boot    atomic.Int64

	mu       sync.Mutex
	address  string
	current  *http.Server
	conns    atomic.Int64
	stopped  bool
	crashing bool
}

// NewServer starts a server that writes into a record.
func NewServer(cfg ServerConfig, record *Record) (*Server, error) {
	s := &Server{cfg: cfg.withDefaults(), record: record}
	if err := s.start(s.cfg.Listen, s.cfg.StartWarm); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the listening address, which a restart keeps.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SetLying makes the health and load endpoints claim that all is well.
func (s *Server) SetLying(lie bool) {
	s.lie.Store(lie)
}

// Cool turns a warm server cold without a word.
func (s *Server) Cool() {
	s.good.Store(0)
}

// Running returns the number of requests running now.
func (s *Server) Running() int {
	return int(s.running.Load())
}

// Cold reports whether the server is in its cold start.
func (s *Server) Cold() bool {
	return s.good.Load() < int64(s.cfg.WarmAfter)
}

// Crash ends the process at once, cutting all connections; it comes back cold.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end() {
		s.record.addCrash()
	}
}

// Replace ends the process as an operator does who puts a new, cold one in its
// place. It is not recorded as a crash.
func (s *Server) Replace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

// end cuts the process off unless it has ended; the caller holds mu.
func (s *Server) end() bool {
	if s.crashing || s.stopped {
		return false
	}
	s.crashing = true
	_ = s.current.Close()
	time.AfterFunc(s.cfg.RestartTime, s.restart)
	return true
}

// Close stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.current.Close()
}

func (s *Server) restart() {
	s.mu.Lock()
	stopped := s.stopped
	address := s.address
	s.mu.Unlock()
	if stopped {
		return
	}
	if err := s.start(address, false); err != nil {
		time.AfterFunc(s.cfg.RestartTime, s.restart)
	}
}

func (s *Server) start(listen string, warm bool) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.running.Store(0)
	s.conns.Store(0)
	s.good.Store(0)
	if warm {
		s.good.Store(int64(s.cfg.WarmAfter))
	}
	s.boot.Store(time.Now().UnixNano())
	s.crashing = false
	life := &process{server: s, boot: s.boot.Load()}
	s.current = &http.Server{Handler: life.handler(), ConnState: s.countConn, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.current)
	return nil
}

// countConn closes connections over the cap.
func (s *Server) countConn(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > int64(s.cfg.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// process is one life of the server between crashes.
type process struct {
	server *Server
	boot   int64
}

func (p *process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, p.serveHealth)
	mux.HandleFunc("GET "+PathLoad, p.serveLoad)
	mux.HandleFunc("/", p.serveWork)
	return mux
}

func (p *process) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if p.server.Cold() && !p.server.lie.Load() {
		http.Error(w, "cold", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (p *process) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := float64(p.server.running.Load()) / float64(p.server.cfg.Slots)
	if p.server.lie.Load() {
		load = 0
	}
	_, _ = fmt.Fprintf(w, "%.2f\n", load)
}

func (p *process) serveWork(w http.ResponseWriter, r *http.Request) {
	s := p.server
	w.Header().Set(contract.HeaderBootID, strconv.FormatInt(p.boot, 10))
	if p.run(w, r) {
		p.answer(w, r)
		s.good.Add(1)
	}
}

// run runs the request in a slot and reports whether it is to be answered. The
// slot is free before the answer starts.
func (p *process) run(w http.ResponseWriter, r *http.Request) bool {
	s := p.server
	running := s.running.Add(1)
	defer p.leaveSlot()
	cold := s.Cold()
	if cold && running > int64(s.cfg.ColdLimit) {
		s.record.addColdOverload()
		s.Crash()
		return false
	}
	if running > int64(s.cfg.Slots) {
		w.Header().Set("Retry-After", "1")
		w.Header().Set(contract.HeaderVerdict, verdict.NotRun.String())
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return false
	}
	s.record.add(Run{Operation: r.Header.Get(HeaderOperation), Host: s.cfg.Host, Method: r.Method, At: time.Now()})
	if r.Header.Get(HeaderPoison) != "" {
		s.Crash()
		return false
	}
	return p.work(r.Context(), cold)
}

// leaveSlot frees a slot unless a crash has freed all.
func (p *process) leaveSlot() {
	if p.server.boot.Load() == p.boot {
		p.server.running.Add(-1)
	}
}

// runTime draws the run time; a cold server is three times as slow.
func (c ServerConfig) runTime(cold bool) time.Duration {
	if c.ExactWorkTime {
		return c.WorkTime
	}
	took := c.WorkTime/2 + time.Duration(rand.Int64N(int64(c.WorkTime)+1))
	if cold {
		took *= 3
	}
	return took
}

// work takes the run time. It reports false when the request was cancelled.
func (p *process) work(ctx context.Context, cold bool) bool {
	took := p.server.cfg.runTime(cold)
	if took == 0 {
		return true
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *process) answer(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderEcho) != "" {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if size, err := strconv.ParseInt(r.Header.Get(HeaderSize), 10, 64); err == nil && size > 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		_, _ = io.CopyN(w, zeros{}, size)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", p.server.cfg.Host, r.Header.Get(HeaderOperation))
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
