// Package mesh runs node processes on the platform's protocol against
// stand-ins of its store and servers.
package mesh

import (
	"bytes"
	"context"
	"encoding/json"
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
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/standin"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "boragefall")
	build := exec.Command("go", "build", "-o", binary, "boragefall/cmd/boragefall")
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

const (
	grace     = 6 * time.Second
	slots     = 8
	work      = 10 * time.Millisecond
	coldRate  = 10.0
	coldFor   = 2 * time.Second
	callLimit = 2 * time.Second // time that callers give a request
	patience  = 20 * time.Second
	hostsEach = 3 // hosts of each service
)

// ports are the same on all hosts; each host has a loopback address.
type ports struct{ callers, links, ready, admin, server int }

// machine is a host: a server in this process and a node process.
type machine struct {
	fleet   *fleet
	ip      string
	zone    string
	service string
	server  *standin.MeshServer
	storeAt string
	log     string
	// logLevel goes into the settings.
	logLevel string

	mu   sync.Mutex
	node *exec.Cmd
	// logFrom is the size of the log at the process's start.
	logFrom int64
}

// fleet is a deployment of two services.
type fleet struct {
	dir      string
	ports    ports
	store    *standin.MetaStore
	record   *standin.MeshRecord
	machines []*machine
	// publishing serializes publish; it guards the fields below.
	publishing sync.Mutex
	version    int
	// workspaces go into the configuration; nil for one without keys. key is what callers
	// send unless they say otherwise.
	workspaces []map[string]any
	key        string
	client     *http.Client
}

// startFleet starts servers and nodes and waits until all nodes are ready. dir
// takes their settings and logs.
// linkIP returns where a node listens for links; other nodes connect to the
// server's address, where a proxy may stand between.
func startFleet(dir string, linkIP func(i int) string) *fleet {
	f := &fleet{
		dir: dir, store: standin.NewMetaStore(), record: &standin.MeshRecord{},
		client: &http.Client{Timeout: callLimit + time.Second, Transport: &http.Transport{DisableKeepAlives: false, MaxIdleConnsPerHost: 8}},
	}
	f.ports = freePorts()
	f.publish(nil)
	storeAt := f.serveStore()
	for i := range 2 * hostsEach {
		m := &machine{fleet: f, ip: fmt.Sprintf("127.0.1.%d", i+1), zone: []string{"north", "south", "west"}[i%3], storeAt: storeAt, logLevel: "info"}
		m.service = []string{"status", "orders"}[i/hostsEach]
		m.log = filepath.Join(f.dir, m.ip+".log")
		server, err := standin.NewMeshServer(standin.MeshServerConfig{
			Address: m.address(f.ports.server), Service: m.service, Zone: m.zone, Slots: slots, Work: work, ColdFor: coldFor, ColdRate: coldRate,
		}, f.store, f.record)
		Expect(err).NotTo(HaveOccurred())
		m.server = server
		links := m.ip
		if linkIP != nil {
			links = linkIP(i)
		}
		m.writeSettings(links)
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		m.start()
	}
	DeferCleanup(f.end)
	for _, m := range f.machines {
		Eventually(m.isReady, patience).Should(BeTrue())
	}
	return f
}

// freePorts finds five ports that nothing uses on the loopback addresses.
func freePorts() ports {
	var p [5]int
	var held []net.Listener
	for i := range p {
		l, err := net.Listen("tcp", "127.0.1.1:0")
		Expect(err).NotTo(HaveOccurred())
		p[i] = l.Addr().(*net.TCPAddr).Port
		held = append(held, l)
	}
	for _, l := range held {
		_ = l.Close() // it only kept the port
	}
	return ports{p[0], p[1], p[2], p[3], p[4]}
}

func (f *fleet) serveStore() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // it ends with Close
	DeferCleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// publish writes the next version; change edits its routes.
func (f *fleet) publish(change func(routes []map[string]any) []map[string]any) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.version += 3
	route := func(name, prefix, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "mesh.example", "prefix": prefix, "route_type": kind, "service": service,
			"timeout": "2000ms", "target_latency": "500ms", "priority": priority, "max_attempts": 2,
		}
	}
	routes := []map[string]any{
		route("read", "/status/", "safe", "status", 2),
		route("order", "/orders/", "unsafe", "orders", 1),
		route("upload", "/uploads/", "upload", "orders", 1),
	}
	if change != nil {
		routes = change(routes)
	}
	var services []map[string]any
	for _, name := range []string{"status", "orders"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 64, "cold_start": "2s", "cold_per_s": coldRate,
		})
	}
	config := map[string]any{
		"version": fmt.Sprintf("r%d", f.version), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout": "3s", "idle_timeout": "15s"},
	}
	if f.workspaces != nil {
		config["tenants"] = f.workspaces
	}
	f.store.Put("op/config", config)
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

func (m *machine) writeSettings(linkIP string) {
	p := m.fleet.ports
	data, err := json.Marshal(map[string]any{
		"host": "host-" + m.ip, "data-centre": m.zone, "region": "r", "service": m.service,
		"backend": m.address(p.server), "link-listen": fmt.Sprintf("%s:%d", linkIP, p.links),
		"callers-listen": m.address(p.callers), "ready-listen": m.address(p.ready), "admin-listen": m.address(p.admin),
		"store": m.storeAt, "peer": []string{fmt.Sprintf("127.0.1.1:%d", p.links)}, "drain-limit": grace.String(), "log-level": m.logLevel,
		"key-revocation-limit": revocationLimit.String(),
		"quota-window":         quotaTolerance.Window.String(), "quota-overshoot": quotaTolerance.Overshoot, "quota-slack": quotaTolerance.Slack,
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(m.settingsFile(), data, 0o600)).To(Succeed())
}

func (m *machine) settingsFile() string {
	return filepath.Join(m.fleet.dir, m.ip+".json")
}

// start starts the node process.
func (m *machine) start() {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	info, err := out.Stat()
	Expect(err).NotTo(HaveOccurred())
	size := info.Size()
	node := exec.Command(binary, "node", "--settings", m.settingsFile())
	node.Stdout, node.Stderr = out, out
	Expect(node.Start()).To(Succeed())
	_ = out.Close() // the process has its own descriptor
	m.mu.Lock()
	m.node = node
	m.logFrom = size
	m.mu.Unlock()
}

// served reports whether the last process came as far as to take requests.
func (m *machine) served() bool {
	data, err := os.ReadFile(m.log)
	Expect(err).NotTo(HaveOccurred())
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Contains(data[m.logFrom:], []byte("node started"))
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.node.Process.Signal(s) // it may have ended already
}

// wait waits for the end of the node process and returns how it ended.
func (m *machine) wait() error {
	m.mu.Lock()
	node := m.node
	m.mu.Unlock()
	return node.Wait()
}

// kill ends the node process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	_ = m.wait() // it reports the signal
}

func (m *machine) isReady() bool {
	response, err := http.Get("http://" + m.address(m.fleet.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

func (f *fleet) end() {
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
		m.server.Crash()
	}
}

// call is one request of a caller and what became of it.
type call struct {
	id     string
	unsafe bool
	status int // 0 when no whole answer came
	err    error
	sent   time.Time
	took   time.Duration
	whole  bool
}

// good reports whether the caller got the server's own whole answer.
func (c call) good() bool { return c.status == http.StatusOK && c.whole }

// do sends a request to a machine's node.
func (f *fleet) do(m *machine, method, path string, body []byte) call {
	return f.doWithKey(m, f.key, method, path, body)
}

// doWithKey sends a request with a key; without one if it is empty.
func (f *fleet) doWithKey(m *machine, key, method, path string, body []byte) call {
	c := call{id: uuid.NewString(), unsafe: method != http.MethodGet, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(f.ports.callers)+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "mesh.example"
	request.Header.Set("Request-Id", c.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	request.Header.Set("Caller-Service", "forged")
	if f.workspaces != nil {
		request.Header.Set("Tenant", "forged")
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := f.client.Do(request)
	c.took = time.Since(c.sent)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	got, err := io.ReadAll(response.Body)
	c.err = err
	c.status = response.StatusCode
	want := standin.MeshAnswer(c.id, len(body))
	c.whole = err == nil && bytes.Equal(got, want) && response.Header.Get("Response-Signature") == standin.MeshSignature(want)
	return c
}

// load sends requests of all kinds from all machines at a rate until stop, and
// returns what became of them. Callers of a node that is not ready stay away.
func (f *fleet) load(stop <-chan struct{}, perSecond int) []call {
	var mu sync.Mutex
	var calls []call
	var work sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			work.Wait()
			return calls
		case <-tick.C:
		}
		m := f.machines[n%len(f.machines)]
		work.Go(func() {
			var c call
			switch n / len(f.machines) % 4 {
			case 0, 1:
				c = f.do(m, http.MethodGet, "/status/a", nil)
			case 2:
				c = f.do(m, http.MethodPost, "/orders/b", []byte("one battery"))
			default:
				c = f.do(m, http.MethodPost, "/uploads/c", bytes.Repeat([]byte("x"), 100_000))
			}
			mu.Lock()
			calls = append(calls, c)
			mu.Unlock()
		})
	}
}

// during runs a load while something happens.
func (f *fleet) during(perSecond int, what func()) []call {
	stop := make(chan struct{})
	done := make(chan []call)
	go func() {
		defer GinkgoRecover()
		done <- f.load(stop, perSecond)
	}()
	what()
	close(stop)
	return <-done
}

// expectRejected sends a request that no configuration allows until it gets a status, for at
// most configBound, in which a node has to obtain a recent copy of the store. Until then the
// node may only refuse the request because its copy may be out of date.
func (f *fleet) expectRejected(m *machine, key, path string, status int) {
	GinkgoHelper()
	Eventually(func() int {
		c := f.doWithKey(m, key, http.MethodGet, path, nil)
		Expect(f.record.Runs()).NotTo(ContainElement(HaveField("ID", c.id)))
		if c.status != status {
			Expect(c.status).To(Equal(http.StatusServiceUnavailable), "%+v\n%s", c, f.logsOf(c.id))
			Expect(f.logsOf(c.id)).To(ContainSubstring("stale-configuration"))
		}
		return c.status
	}, configBound).Should(Equal(status), "%s with key %q", path, key)
}

// checkPromises checks what callers were told against what the servers ran.
func (f *fleet) checkPromises(calls []call) {
	GinkgoHelper()
	runs := map[string]int{}
	for _, run := range f.record.Runs() {
		runs[run.ID]++
		Expect(run.Caller).To(BeElementOf("status", "orders"), "the caller's service is the node's word")
	}
	for _, c := range calls {
		switch {
		case c.unsafe && runs[c.id] > 1:
			Fail(fmt.Sprintf("%s ran %d times\n%s", c.id, runs[c.id], f.logsOf(c.id)))
		case (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && runs[c.id] > 0:
			Fail(fmt.Sprintf("%s was told that it did not run, and ran\n%s", c.id, f.logsOf(c.id)))
		case c.status == http.StatusOK && !c.whole:
			Fail(fmt.Sprintf("%s got another answer than its own\n%s", c.id, f.logsOf(c.id)))
		case c.status == http.StatusNotFound:
			Fail(fmt.Sprintf("%s was refused a route that exists\n%s", c.id, f.logsOf(c.id)))
		}
	}
}

// logsOf returns the nodes' lines about a request.
func (f *fleet) logsOf(id string) string {
	var out strings.Builder
	for _, m := range f.machines {
		data, err := os.ReadFile(m.log)
		if err != nil {
			fmt.Fprintln(&out, err)
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			if strings.Contains(line, id) {
				fmt.Fprintln(&out, m.ip, line)
			}
		}
	}
	return out.String()
}

// goodShare returns the share of the calls sent after a time that were good.
func goodShare(calls []call, after time.Time) float64 {
	good, all := 0, 0
	for _, c := range calls {
		if c.sent.Before(after) {
			continue
		}
		all++
		if c.good() {
			good++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(good) / float64(all)
}
