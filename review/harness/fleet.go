// Command harness plays the scripted cases of the review: it starts node processes with
// the command of the deploy file, and stand-ins of the store, the servers and the clients
// in its own process, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"boragefall/internal/standin"
)

// The bounds of a small deployment, as the users' pages give them.
const (
	grace   = 6 * time.Second
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// expiry is three heartbeats of 1.5 s: a silent server's entry is removed then.
	expiry = 4500 * time.Millisecond
)

// errNotReady reports a deployment that did not come up, so that a case could not run.
var errNotReady = errors.New("a node did not become ready")

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// started holds the node processes that run, by id.
var started sync.Map

// ports are the same on all machines; each machine has a loopback address.
type ports struct{ callers, links, ready, admin, server int }

// fleet is a small deployment.
type fleet struct {
	program  string
	dir      string
	record   *record
	ports    ports
	store    *standin.MetaStore
	storeAt  string
	machines []*machine
}

// machine has one server in this process and one node process.
type machine struct {
	fleet   *fleet
	ip      string
	zone    string
	service string
	server  *server
	client  *http.Client
	node    *exec.Cmd
	exited  chan struct{}
}

// place is where a machine stands and what its server serves.
type place struct{ zone, service string }

// newFleet starts the store and the servers, and then the nodes, and waits until all
// nodes are ready.
func newFleet(program, dir string, rec *record, network int, places []place, routes []map[string]any) (*fleet, error) {
	f := &fleet{program: program, dir: dir, record: rec, store: standin.NewMetaStore()}
	var err error
	if f.ports, err = freePorts(fmt.Sprintf("127.0.%d.1", network)); err != nil {
		return nil, err
	}
	f.store.Put("op/config", configuration("r3", routes, places))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store.Handler()) }() // it ends with the process
	for i, p := range places {
		m := &machine{fleet: f, ip: fmt.Sprintf("127.0.%d.%d", network, i+1), zone: p.zone, service: p.service}
		m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
		m.server = &server{machine: m, work: usualWork}
		if err := m.server.start(false); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.writeSettings(); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(15 * time.Second) {
			return nil, errNotReady
		}
	}
	return f, nil
}

func freePorts(ip string) (ports, error) {
	var p [5]int
	for i := range p {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = l.Close() }() // it only keeps the port
		p[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{p[0], p[1], p[2], p[3], p[4]}, nil
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "mesh.example", "prefix": prefix, "route_type": kind, "service": service,
		"timeout": "1500ms", "target_latency": "400ms", "priority": 1, "max_attempts": 2,
	}
}

func configuration(version string, routes []map[string]any, places []place) map[string]any {
	var services []map[string]any
	seen := map[string]bool{}
	for _, p := range places {
		if !seen[p.service] {
			seen[p.service] = true
			services = append(services, map[string]any{
				"name": p.service, "health_path": "/health", "max_connections": 120, "cold_start": "3s", "cold_per_s": 13.0,
			})
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout": "3s", "idle_timeout": "15s"},
	}
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) settings() string { return filepath.Join(m.fleet.dir, m.ip+".json") }

// writeSettings writes what the deploy file's template gives for a small deployment.
func (m *machine) writeSettings() error {
	p := m.fleet.ports
	seeds := []string{}
	for i := range min(3, len(m.fleet.machines)) {
		seeds = append(seeds, m.fleet.machines[i].at(p.links))
	}
	data, err := json.MarshalIndent(map[string]any{
		"host": "sidecar-" + m.ip, "data-centre": m.zone, "region": "r1", "service": m.service,
		"backend": m.at(p.server), "link-listen": m.at(p.links), "callers-listen": m.at(p.callers),
		"ready-listen": m.at(p.ready), "admin-listen": m.at(p.admin), "store": m.fleet.storeAt, "peer": seeds,
		"drain-limit": grace.String(), "retry-ratio": 0.2, "retry-slack": 60, "cold-overshoot": 1.5, "cold-slack": 5,
		"config-propagation-limit": "2000ms", "memory-mb": 134, "link-mbps": 1000, "log-level": "info",
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings(), data, 0o600)
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	node := exec.Command(m.fleet.program, "node", "--settings", m.settings())
	node.Stdout, node.Stderr = out, out
	if err := node.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.node, m.exited = node, exited
	started.Store(node.Process.Pid, node.Process)
	go func() {
		_ = node.Wait() // how it ended does not matter
		started.Delete(node.Process.Pid)
		close(exited)
	}()
	m.fleet.record.add("node %s starts", m.ip)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.record.add("node %s gets %v", m.ip, s)
	_ = m.node.Process.Signal(s) // it may have ended
}

// restart stops the node as planned and starts it again.
func (m *machine) restart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.fleet.record.add("node %s has ended", m.ip)
	return m.start()
}

func (m *machine) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + m.at(m.fleet.ports.ready) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status counts
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// end ends all node processes.
func (f *fleet) end() {
	for _, m := range f.machines {
		if m.node == nil {
			continue
		}
		_ = m.node.Process.Signal(syscall.SIGCONT) // it may have ended
		_ = m.node.Process.Kill()                  // likewise
		<-m.exited
	}
}

// answer is what a client got; status is 0 when no whole answer came.
type answer struct {
	id     string
	sent   time.Time
	status int
	signed bool
	whole  bool
}

// send sends one request from a client on a machine and records it.
func (m *machine) send(method, path string, body []byte) answer {
	const patience = 1200 * time.Millisecond
	a := answer{id: strings.ReplaceAll(uuid.NewString(), "-", "")[:16], sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(m.fleet.ports.callers)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // only for a request that this program makes wrongly
	}
	request.Host = "mesh.example"
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	m.fleet.record.add("sent %s %s %s at %s", a.id, method, path, m.ip)
	response, err := m.client.Do(request)
	if err != nil {
		m.fleet.record.add("answered %s: none, %v", a.id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	got, err := io.ReadAll(response.Body)
	a.signed = response.Header.Get("Response-Signature") != ""
	if err == nil {
		a.status, a.whole = response.StatusCode, bytes.Equal(got, standin.MeshAnswer(a.id, len(body)))
	}
	m.fleet.record.add("answered %s: %d, signed %v, %d bytes", a.id, a.status, a.signed, len(got))
	return a
}
