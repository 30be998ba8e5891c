package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/standin"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}

const (
	hostCount = 4
	seed      = 7
	folder    = `{"services":{"ordering":{"slots":10,"connections":120,"coldLimit":2,"resendWindow":"3s"}},
		"routes":{"order":{"match":{"methods":["POST"],"path":"/orders"},"service":"ordering","timeout":"3s"},
			"lookup":{"match":{"methods":["GET"],"path":"/orders"},"service":"ordering","timeout":"3s","idempotent":true}}}`
)

// member is a host: a backend server in this process and a node process.
type member struct {
	listing  host.Listing
	settings string
	callers  string
	node     *exec.Cmd
}

// fleet is a service of four hosts and its platform.
type fleet struct {
	binary  string
	record  *standin.Record
	members []*member
}

func startFleet() *fleet {
	dir := GinkgoT().TempDir()
	f := &fleet{binary: filepath.Join(dir, "boragefall"), record: standin.NewRecord()}
	build := exec.Command("go", "build", "-o", f.binary, "boragefall/cmd/boragefall")
	build.Stderr = GinkgoWriter
	Expect(build.Run()).To(Succeed())
	platform := standin.NewPlatform(standin.PlatformConfig{})
	url := servePlatform(platform)
	addresses := freeAddresses(3 * hostCount)
	for i := range hostCount {
		f.members = append(f.members, f.newMember(dir, url, i, addresses))
	}
	var listings []host.Listing
	for _, m := range f.members {
		listings = append(listings, m.listing)
	}
	platform.Publish([]config.File{{Name: "a.json", Data: []byte(folder)}})
	platform.SetHosts(listings)
	for _, m := range f.members {
		f.start(m)
	}
	DeferCleanup(func() {
		for _, m := range f.members {
			f.kill(m)
		}
	})
	return f
}

func servePlatform(p *standin.Platform) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return "http://" + listener.Addr().String()
}

// freeAddresses returns fixed ports below the range from which the system
// gives ports to outgoing connections, so that a restart finds its own free.
func freeAddresses(n int) []string {
	var free []string
	for port := 21000; len(free) < n; port++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if listener, err := net.Listen("tcp", address); err == nil {
			Expect(listener.Close()).To(Succeed())
			free = append(free, address)
		}
	}
	return free
}

func (f *fleet) newMember(dir, url string, i int, addresses []string) *member {
	id := host.ID(fmt.Sprintf("host-%d", i))
	server, err := standin.NewServer(standin.ServerConfig{Host: id, ColdLimit: 2, RestartTime: 200 * time.Millisecond}, f.record)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	own := addresses[3*i : 3*i+3]
	place := datacentre.Place{Region: "r", DataCentre: datacentre.ID(fmt.Sprintf("dc-%d", i%2))}
	settings := map[string]any{
		"host": id, "data-centre": place.DataCentre, "region": "r", "service": "ordering",
		"backend": server.Address(), "link-listen": own[0], "callers-listen": own[1], "admin-listen": own[2],
		"platform": url, "peer": []string{addresses[0], addresses[3]}, "log-level": "warn",
	}
	text, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(dir, string(id)+".json")
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return &member{
		listing:  host.Listing{ID: id, Address: own[0], Place: place, Service: "ordering"},
		settings: path, callers: own[1],
	}
}

func (f *fleet) start(m *member) {
	m.node = exec.Command(f.binary, "node", "--settings", m.settings)
	m.node.Stderr = GinkgoWriter
	Expect(m.node.Start()).To(Succeed())
}

func (f *fleet) kill(m *member) {
	_ = m.node.Process.Kill()
	_ = m.node.Wait()
}

func (m *member) signal(s syscall.Signal) {
	Expect(m.node.Process.Signal(s)).To(Succeed())
}

// order is one caller's operation, sent again and again under one key.
type order struct {
	id, key string
	good    bool
	notRun  bool // the last answer was not-run
}

// send sends an order through an entry and notes what the caller was told.
func (f *fleet) send(client *http.Client, o *order, m *member) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.callers+"/orders", bytes.NewBufferString(o.id))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(standin.HeaderOperation, o.id)
	request.Header.Set(contract.HeaderKey, o.key)
	request.Header.Set(contract.HeaderCaller, "depot")
	response, err := client.Do(request)
	if err != nil {
		o.notRun = false
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.good = response.StatusCode == http.StatusOK
	o.notRun = response.Header.Get(contract.HeaderVerdict) == "not-run"
}

// load sends orders from a few callers until stop is closed, each up to six
// times through any entry, without pause.
func (f *fleet) load(stop <-chan struct{}) []*order {
	const callers = 6
	var mu sync.Mutex
	var all []*order
	var work sync.WaitGroup
	for c := range callers {
		work.Go(func() {
			defer GinkgoRecover()
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			client := &http.Client{Timeout: 4 * time.Second}
			for {
				select {
				case <-stop:
					return
				default:
				}
				o := f.perform(client, random)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return all
}

func (f *fleet) perform(client *http.Client, random *rand.Rand) *order {
	key, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	o := &order{id: uuid.NewString(), key: key.String()}
	for range 6 {
		f.send(client, o, f.members[random.IntN(hostCount)])
		if o.good && random.IntN(4) > 0 {
			break // now and then an answered order is sent again, too
		}
		time.Sleep(5 * time.Millisecond)
	}
	return o
}

// check compares what callers were told with what the servers ran.
func (f *fleet) check(orders []*order) {
	good := 0
	for _, o := range orders {
		runs := f.record.Count(o.id)
		Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times", o.id, runs)
		if o.notRun {
			Expect(runs).To(BeZero(), "%s was told not-run and ran", o.id)
		}
		if o.good {
			good++
			Expect(runs).To(Equal(1), "%s was answered and did not run", o.id)
		}
	}
	Expect(f.record.ColdOverloads()).To(BeZero())
	_, _ = fmt.Fprintf(GinkgoWriter, "%d orders, %d good\n", len(orders), good)
}

// awaitKeys sends fresh orders until one is answered by each entry.
func (f *fleet) awaitKeys() {
	client := &http.Client{Timeout: 4 * time.Second}
	for _, m := range f.members {
		Eventually(func() bool {
			key, err := uuid.NewV7()
			Expect(err).NotTo(HaveOccurred())
			o := &order{id: uuid.NewString(), key: key.String()}
			f.send(client, o, m)
			return o.good
		}, "90s", "200ms").Should(BeTrue())
	}
}

var _ = Describe("node processes", Ordered, func() {
	var f *fleet
	BeforeAll(func() {
		f = startFleet()
		f.awaitKeys()
	})

	// during runs a fault under load and checks the promises.
	during := func(fault func()) {
		stop := make(chan struct{})
		done := make(chan []*order)
		go func() {
			defer GinkgoRecover()
			done <- f.load(stop)
		}()
		time.Sleep(time.Second)
		fault()
		time.Sleep(time.Second)
		close(stop)
		var orders []*order
		Eventually(done, "60s").Should(Receive(&orders))
		f.check(orders)
	}

	It("run no order twice when one is killed and comes back", func() {
		during(func() {
			f.kill(f.members[1])
			time.Sleep(time.Second)
			f.start(f.members[1])
			time.Sleep(3 * time.Second)
		})
	})

	It("run no order twice when one is paused past its lease and wakes up late", func() {
		during(func() {
			f.members[2].signal(syscall.SIGSTOP)
			time.Sleep(7 * time.Second)
			f.members[2].signal(syscall.SIGCONT)
			time.Sleep(2 * time.Second)
		})
	})

	It("run no order twice when one is paused while another is killed", func() {
		during(func() {
			f.members[0].signal(syscall.SIGSTOP)
			f.kill(f.members[3])
			time.Sleep(2 * time.Second)
			f.start(f.members[3])
			f.members[0].signal(syscall.SIGCONT)
			time.Sleep(2 * time.Second)
		})
	})

	It("run no order twice when all die at once, and take new orders again", func() {
		during(func() {
			for _, m := range f.members {
				f.kill(m)
			}
			for _, m := range f.members {
				f.start(m)
			}
		})
		f.awaitKeys()
	})
})
