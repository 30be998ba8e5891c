package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"boragefall/internal/standin"
)

const (
	slots = 6
	// usualWork is how long a server works on a request if the case says nothing else.
	usualWork = 20 * time.Millisecond
	// coldStart is how long a server is cold that starts during traffic.
	coldStart = 3 * time.Second
	// crashed is how long a server is away after a crash.
	crashed = 2 * time.Second
)

// poison is the body of a request that crashes each server that begins to run it.
var poison = []byte("a mark that no server can read")

// run is one request that a server began to run.
type run struct {
	id, server, path string
	at               time.Time
	poison           bool
}

// server stands in for the application server of a machine.
type server struct {
	machine *machine
	work    time.Duration

	mu        sync.Mutex
	id        string
	born      time.Time
	coldUntil time.Time
	http      *http.Server
	running   int
	runs      []run
	// losing is the share of the requests whose answer is lost after they ran.
	losing float64
}

// start starts a new incarnation, with a new id, and registers it.
func (s *server) start(duringTraffic bool) error {
	listener, err := net.Listen("tcp", s.machine.at(s.machine.fleet.ports.server))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.born, s.running = "i-"+strings.ReplaceAll(uuid.NewString(), "-", "")[:10], time.Now(), 0
	if duringTraffic {
		s.coldUntil = s.born.Add(coldStart)
	}
	id := s.id
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) })}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http) // it ends with Close
	s.machine.fleet.record.add("server %s of %s starts at %s", id, s.machine.service, s.machine.ip)
	s.machine.fleet.store.Put("servers/"+id, map[string]any{
		"address": listener.Addr().String(), "born": s.born.UnixMilli(),
		"info":   map[string]any{"service": s.machine.service, "zone": s.machine.zone, "version": "v1", "slots": slots},
		"status": map[string]any{"state": "ready", "seq": 1, "cold_remaining": fmt.Sprintf("%dms", s.coldLeft())},
	})
	return nil
}

func (s *server) coldLeft() int64 { return max(time.Until(s.coldUntil).Milliseconds(), 0) }

// crash ends the incarnation at once. Its entry expires, and the server is back later.
func (s *server) crash(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return
	}
	s.machine.fleet.record.add("server %s crashes", id)
	_ = s.http.Close() // nothing is left to do with it
	s.id = ""
	time.AfterFunc(expiry, func() { s.machine.fleet.store.Delete("servers/" + id) })
	time.AfterFunc(crashed, func() {
		if err := s.start(true); err != nil {
			s.machine.fleet.record.add("server at %s is not back: %v", s.machine.ip, err)
		}
	})
}

// leave removes the server's entry; the server goes on serving.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.fleet.store.Delete("servers/" + s.id)
	s.machine.fleet.record.add("the store has removed the entry of server %s at %s", s.id, s.machine.ip)
	return time.Now()
}

// began returns the runs so far.
func (s *server) began() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) serve(id string, w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Instance-Id", id)
	s.mu.Lock()
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running, slots))
	header.Set("Cold-Ms", strconv.FormatInt(s.coldLeft(), 10))
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		return
	}
	request := r.Header.Get("Request-Id")
	header.Set("Request-Id", request)
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the node broke off
	}
	if !s.begin(id, request, r.URL.Path, bytes.Equal(body, poison)) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.finish(id)
	if bytes.Equal(body, poison) {
		s.crash(id)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.loses() {
		s.machine.fleet.record.add("the answer to %s is lost", request)
		reset(w)
		return
	}
	out := standin.MeshAnswer(request, len(body))
	header.Set("Response-Signature", standin.MeshSignature(out))
	header.Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out) // the node has left
}

// begin takes a slot and records the run. It returns false if all slots are taken.
func (s *server) begin(id, request, path string, poisoned bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id || s.running >= slots {
		return false
	}
	s.running++
	s.runs = append(s.runs, run{id: request, server: id, path: path, at: time.Now(), poison: poisoned})
	s.machine.fleet.record.add("run %s %s by %s at %s", request, path, id, s.machine.ip)
	return true
}

func (s *server) finish(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.running--
	}
}

// lose makes the server lose the answers to a share of the requests that it runs.
func (s *server) lose(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = share
}

func (s *server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.losing
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the node has left
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed, which also loses the answer
	}
	_ = conn.Close() // nothing is left to do with it
}
