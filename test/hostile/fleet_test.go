package hostile

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/standin"
)

func TestHostile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostile")
}

const (
	// memoryMB is the setting memory-mb of the nodes and the bound on their resident memory.
	memoryMB = 80
	// maxDescriptors is the setting max-fds of the nodes and the bound on their open descriptors.
	maxDescriptors = 800
	// patience bounds only waits for things that have to happen at some time.
	patience = time.Minute
)

var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "boragefall")
	out, err := exec.Command("go", "build", "-o", binary, "boragefall/cmd/boragefall").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// member is a node process and the server beside it.
type member struct {
	links, callers, admin, ready, server string
	path                                 string // a request's path that the server beside it serves
	node                                 *exec.Cmd
	ended                                chan struct{}
}

// start starts the node process with its settings.
func (m *member) start(settings map[string]any) {
	settings["log-level"] = "warn"
	if _, ok := settings["memory-mb"]; !ok {
		settings["memory-mb"], settings["max-fds"] = memoryMB, maxDescriptors
	}
	settings["link-listen"], settings["callers-listen"], settings["admin-listen"] = m.links, m.callers, m.admin
	settings["backend"], settings["region"] = m.server, "r"
	text, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "settings.json")
	Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	m.node = exec.Command(binary, "node", "--settings", file)
	m.node.Stdout, m.node.Stderr = GinkgoWriter, GinkgoWriter
	Expect(m.node.Start()).To(Succeed())
	m.ended = make(chan struct{})
	go func() {
		_ = m.node.Wait() // the specs check that it doesn't end
		close(m.ended)
	}()
	DeferCleanup(func() {
		_ = m.node.Process.Kill() // it may have ended already
		<-m.ended
	})
}

// serve serves a stand-in and returns its address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // it ends with Close
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// freePorts finds ports that nothing uses on 127.0.3.1.
func freePorts(n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.3.1:0")
		Expect(err).NotTo(HaveOccurred())
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }() // it only kept the port
	}
	return ports
}

func newMembers() []*member {
	ports := freePorts(5)
	at := func(i, port int) string { return fmt.Sprintf("127.0.3.%d:%d", i+1, ports[port]) }
	var all []*member
	for i := range 2 {
		all = append(all, &member{links: at(i, 0), callers: at(i, 1), admin: at(i, 2), ready: at(i, 3), server: at(i, 4)})
	}
	return all
}

// startPlatform starts two nodes on the platform's protocol, of one service each.
func startPlatform() []*member { return startPlatformWith(nil) }

// startPlatformWith starts them with further settings.
func startPlatformWith(further map[string]any) []*member {
	store, record := standin.NewMetaStore(), &standin.MeshRecord{}
	var routes, services []map[string]any
	for _, name := range []string{"status", "orders"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "mesh.example", "prefix": "/" + name + "/", "route_type": "safe", "service": name,
			"timeout": "2000ms", "target_latency": "500ms", "priority": 1, "max_attempts": 2,
		})
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 64, "cold_start": "1s", "cold_per_s": 10,
		})
	}
	store.Put("op/config", map[string]any{
		"version": "r3", "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	storeAt := serve(store.Handler())
	members := newMembers()
	for i, m := range members {
		name := []string{"status", "orders"}[i]
		m.path = "/" + name + "/a"
		server, err := standin.NewMeshServer(standin.MeshServerConfig{
			Address: m.server, Service: name, Zone: "north", Slots: 8, Work: time.Millisecond, ColdFor: time.Second, ColdRate: 10,
		}, store, record)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Crash)
		settings := map[string]any{
			"host": fmt.Sprint("host-", i), "data-centre": "north", "service": name, "ready-listen": m.ready,
			"store": storeAt, "peer": []string{members[0].links},
		}
		maps.Copy(settings, further)
		m.start(settings)
	}
	return members
}

// startPlain starts two nodes of the plain installation, of one service each.
func startPlain() []*member {
	platform, record := standin.NewPlatform(standin.PlatformConfig{}), standin.NewRecord()
	url := "http://" + serve(platform.Handler())
	members := newMembers()
	services, routes := map[string]any{}, map[string]any{}
	var listings []host.Listing
	for i, m := range members {
		name, id := []string{"status", "orders"}[i], host.ID(fmt.Sprint("host-", i))
		m.path = "/" + name
		services[name] = map[string]any{"slots": 10, "connections": 120}
		routes[name] = map[string]any{
			"match": map[string]any{"methods": []string{"GET"}, "path": "/" + name}, "service": name, "timeout": "3s", "idempotent": true,
		}
		server, err := standin.NewServer(standin.ServerConfig{Host: id}, record)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		m.server = server.Address()
		place := datacentre.Place{Region: "r", DataCentre: "north"}
		listings = append(listings, host.Listing{ID: id, Address: m.links, Place: place, Service: name})
	}
	text, err := json.Marshal(map[string]any{"services": services, "routes": routes})
	Expect(err).NotTo(HaveOccurred())
	platform.Publish([]config.File{{Name: "a.json", Data: text}})
	platform.SetHosts(listings)
	for i, m := range members {
		m.start(map[string]any{
			"host": listings[i].ID, "data-centre": "north", "service": listings[i].Service,
			"platform": url, "peer": []string{members[0].links},
		})
	}
	return members
}
