package mesh

import (
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/mesh"
	"boragefall/internal/quota"
	"boragefall/internal/standin"
)

// revocationLimit is the time after which no host may accept a removed key.
const revocationLimit = 3 * time.Second

// quotaTolerance is what a workspace may exceed its quota by.
var quotaTolerance = quota.Tolerance{Window: 2 * time.Second, Overshoot: 0.25, Slack: 10}

// The keys of the tests are unlike any other text, so that a search of the nodes' output
// finds them.
const (
	northKey   = "nk5q8x2vw7d3"
	removedKey = "rk9m4t6zb1h8"
	southKey   = "sk3p7c5yf2j6"
	unknownKey = "uk6w1r8gd4n9"
)

var _ = Describe("a mesh with workspaces", func() {
	var f *fleet

	northQuota := mesh.Quota{Rate: 20, Burst: 20}

	publish := func(northKeys ...string) {
		f.workspaces = []map[string]any{
			{"name": "north", "api_keys": northKeys, "priority": 1, "rate_per_s": northQuota.Rate, "burst": northQuota.Burst},
			{"name": "south", "api_keys": []string{southKey}},
		}
		f.publish(nil)
	}

	// send sends a request with a key, and returns its call and its run, if it ran.
	send := func(m *machine, key string) (call, *standin.MeshRun) {
		c := f.doWithKey(m, key, http.MethodGet, "/status/a", nil)
		runs := f.record.Runs()
		if i := slices.IndexFunc(runs, func(r standin.MeshRun) bool { return r.ID == c.id }); i >= 0 {
			return c, &runs[i]
		}
		return c, nil
	}

	BeforeEach(func() {
		f = startFleet(GinkgoT().TempDir(), nil)
		publish(northKey, removedKey)
		time.Sleep(configBound)
	})

	It("names the workspace to servers and keeps keys to itself", func() {
		for _, m := range f.machines {
			c, run := send(m, northKey)
			Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
			Expect(run.Workspace).To(Equal("north"))
			Expect(run.Credentials).To(BeEmpty())
			for _, key := range []string{unknownKey, ""} {
				f.expectRejected(m, key, "/status/a", http.StatusUnauthorized)
			}
		}
		for _, m := range f.machines {
			log, err := os.ReadFile(m.log)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.Get("http://" + m.address(f.ports.admin) + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			metrics, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			for _, key := range []string{northKey, removedKey, southKey, unknownKey} {
				Expect(strings.Contains(string(log)+string(metrics), key)).To(BeFalse(), "%s shows a key", m.ip)
			}
		}
	})

	It("runs nothing with a removed key, on hosts that were stopped meanwhile either", func() {
		stopped, others := f.machines[0], f.machines[1:]
		stopped.signal(syscall.SIGSTOP)
		publish(northKey)
		time.Sleep(revocationLimit)
		for _, m := range others {
			f.expectRejected(m, removedKey, "/status/a", http.StatusUnauthorized)
		}
		stopped.signal(syscall.SIGCONT)
		for range 20 {
			c, run := send(stopped, removedKey)
			Expect(c.status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable), f.logsOf(c.id))
			Expect(run).To(BeNil())
		}
		Eventually(func() bool { c, _ := send(stopped, northKey); return c.good() }, patience).Should(BeTrue())
	})

	It("accepts no key once no host can know what was removed", func() {
		f.store.SetMode(standin.MetaStoreSilent)
		publish(northKey)
		time.Sleep(revocationLimit)
		for _, m := range f.machines {
			for _, key := range []string{northKey, removedKey, unknownKey} {
				c, run := send(m, key)
				Expect(c.status).To(Equal(http.StatusServiceUnavailable), f.logsOf(c.id))
				Expect(run).To(BeNil())
			}
		}
		f.store.SetMode(standin.MetaStoreUp)
		for _, m := range f.machines {
			Eventually(func() bool { c, _ := send(m, northKey); return c.good() }, patience).Should(BeTrue())
			f.expectRejected(m, removedKey, "/status/a", http.StatusUnauthorized)
		}
	})

	It("limits a workspace over all hosts while nodes are killed", func() {
		const rounds, perRound = 40, 10
		var work sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for round := range rounds {
			if m := f.machines[round%len(f.machines)]; round%8 == 4 {
				m.kill()
				m.start()
			}
			for n := range perRound {
				m := f.machines[(round+n)%len(f.machines)]
				work.Go(func() {
					defer GinkgoRecover()
					c, run := send(m, northKey)
					if c.status == http.StatusTooManyRequests {
						Expect(run).To(BeNil(), "a refusal says that the request did not run")
						mu.Lock()
						refused++
						mu.Unlock()
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		work.Wait()
		Expect(refused).To(BeNumerically(">", rounds))
		var at []time.Time
		for _, run := range f.record.Runs() {
			if run.Workspace == "north" {
				at = append(at, run.At)
			}
		}
		Expect(mostWithin(at, quotaTolerance.Window)).To(BeNumerically("<=", quotaTolerance.Bound(northQuota)))
		Expect(len(at)).To(BeNumerically(">", int(northQuota.Rate)), "the quota itself is served")
	})
})
