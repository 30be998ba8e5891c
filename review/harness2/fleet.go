package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"boragefall/internal/standin"
)

const (
	// meshHost is the name that all routes have.
	meshHost = "mesh.example"
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// memoryMB is the memory of a machine of the small deployments.
	memoryMB = 284
	// startLimit bounds the start of the fleet.
	startLimit = 20 * time.Second
	logMode    = 0o600
)

// portSet holds the ports that all machines use alike.
type portSet struct{ callers, links, ready, admin, server int }

// machine is a server in this process and the node process beside it.
type machine struct {
	fleet   *fleet
	ip      string
	zone    string
	service string
	server  *server
	node    *exec.Cmd
	// links is the address at which the node listens for links.
	links string
	// proxy stands before that address; nil if the node listens there itself.
	proxy *proxy
	// ended is closed when the node process has ended.
	ended chan struct{}
	// ends counts the ends that this program did not cause.
	ends int
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	ports    portSet
	store    *standin.MetaStore
	storeAt  string
	record   *record
	machines []*machine
	version  int
	// proxied reports that a proxy stands before each node's links.
	proxied bool
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// startFleet starts the store, and a server and a node for each service named, with proxies
// before their links if proxied is set. The caller must call end.
func startFleet(r *record, services []string, proxied bool, config func(version int) map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: standin.NewMetaStore(), record: r, proxied: proxied}
	if f.ports, err = freePorts(); err != nil {
		return f, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store.Handler()) }() // it ends with this process
	f.publish(config)
	for i, service := range services {
		m := &machine{fleet: f, ip: fmt.Sprintf("127.0.77.%d", i+1), zone: []string{"north", "south"}[i%2], service: service}
		if m.server, err = startServer(r, m.address(f.ports.server), service); err != nil {
			return f, err
		}
		if err := m.placeLinks(i); err != nil {
			return f, err
		}
		f.register(m)
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// placeLinks chooses where the node listens for links.
func (m *machine) placeLinks(i int) (err error) {
	m.links = m.address(m.fleet.ports.links)
	if m.fleet.proxied {
		seen := m.links
		m.links = fmt.Sprintf("127.0.78.%d:%d", i+1, m.fleet.ports.links)
		m.proxy, err = startProxy(seen, m.links)
	}
	return err
}

func freePorts() (portSet, error) {
	var ports [5]int
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.77.1:0")
		if err != nil {
			return portSet{}, err
		}
		defer func() { _ = l.Close() }() // it only kept the port
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return portSet{ports[0], ports[1], ports[2], ports[3], ports[4]}, nil
}

// publish writes the next version of the configuration.
func (f *fleet) publish(config func(version int) map[string]any) {
	f.version += 3
	f.store.Put("op/config", config(f.version))
}

func (f *fleet) register(m *machine) {
	f.store.Put("servers/"+m.server.id(), map[string]any{
		"address": m.address(f.ports.server), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": m.service, "zone": m.zone, "version": "v1", "slots": serverSlots},
		"status": map[string]any{"state": "ready", "seq": 1, "cold_remaining": "0ms"},
	})
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startLimit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("the node on %s is not ready", m.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the nodes learn of the servers that registered last
	return nil
}

// end ends all node processes and removes the folder, unless KEEP is set.
func (f *fleet) end() {
	for _, m := range f.machines {
		if m.node != nil {
			_ = m.node.Process.Kill() // it may have ended
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // a temporary folder
	}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the node process with the command of the deploy file.
func (m *machine) start() error {
	f, p := m.fleet, m.fleet.ports
	data, err := json.Marshal(map[string]any{
		"host": "sidecar-" + m.ip, "data-centre": m.zone, "region": "r", "service": m.service,
		"backend": m.address(p.server), "link-listen": m.links, "callers-listen": m.address(p.callers),
		"ready-listen": m.address(p.ready), "admin-listen": m.address(p.admin), "store": f.storeAt,
		"peer":        []string{fmt.Sprintf("127.0.77.1:%d", p.links)},
		"drain-limit": grace.String(), "retry-ratio": 0.2, "retry-slack": 60, "cold-overshoot": 1.5, "cold-slack": 5,
		"config-propagation-limit": "2000ms", "memory-mb": memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "log-level": "info",
	})
	if err != nil {
		return err
	}
	settings := filepath.Join(f.dir, m.ip+".json")
	if err := os.WriteFile(settings, data, logMode); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	node := exec.Command("target/boragefall", "node", "--settings", settings)
	node.Stdout, node.Stderr = log, log
	node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		return err
	}
	m.node, m.ended = node, make(chan struct{})
	go func(ended chan struct{}) {
		err := node.Wait()
		f.record.line("the process of the node on %s ended: %v", m.ip, err)
		close(ended)
	}(m.ended)
	return nil
}

// hasEnded reports whether the node process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// restartEnded starts the nodes again that have ended by themselves, as the platform does.
func (f *fleet) restartEnded() error {
	for _, m := range f.machines {
		if !m.hasEnded() {
			continue
		}
		m.ends++
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(m.fleet.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": meshHost, "prefix": prefix, "route_type": kind, "service": service,
		"timeout": "1500ms", "target_latency": "600ms", "priority": 1, "max_attempts": 2,
	}
}

// configuration returns a configuration of some routes and services.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false,
			"cold_start": "3s", "cold_per_s": 11.0,
		})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
}
