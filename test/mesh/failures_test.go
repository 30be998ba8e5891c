package mesh

import (
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/standin"
)

const (
	perSecond   = 60
	drainBound  = 2 * time.Second // after which a leaving server gets nothing
	callersTurn = 2 * time.Second // in which callers leave a node that is not ready
	configBound = 2 * time.Second // in which a configuration is in force
)

var _ = Describe("a mesh of node processes", func() {
	var f *fleet

	BeforeEach(func() { f = startFleet(GinkgoT().TempDir(), nil) })

	It("serves every kind of request on a calm day", func() {
		calls := f.during(perSecond, func() { time.Sleep(3 * time.Second) })
		f.checkPromises(calls)
		for _, c := range calls {
			Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
		}
	})

	It("cuts no request off at planned stops, one after the other", func() {
		calls := f.during(perSecond, func() {
			for _, m := range f.machines[:2] {
				m.signal(syscall.SIGTERM)
				Expect(m.wait()).To(Succeed())
				m.start()
				Eventually(m.isReady, patience).Should(BeTrue())
			}
		})
		f.checkPromises(calls)
		for _, c := range calls {
			// A caller may find the port closed; then nothing was read.
			closed := c.err != nil && strings.Contains(c.err.Error(), "connection refused")
			Expect(c.good() || closed || c.status == http.StatusServiceUnavailable).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
		}
	})

	It("goes on serving the server of a stopping node until callers have turned elsewhere", func() {
		only := f.machines[0]
		for _, m := range f.machines[1:hostsEach] {
			m.server.Drain()
		}
		time.Sleep(configBound)
		only.signal(syscall.SIGTERM)
		stopped := time.Now()
		for time.Since(stopped) < callersTurn {
			c := f.do(f.machines[4], http.MethodGet, "/status/a", nil)
			Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
		}
		Expect(only.isReady()).To(BeFalse())
		Expect(only.wait()).To(Succeed())
		Expect(time.Since(stopped)).To(BeNumerically("<", grace))
		only.start()
	})

	It("keeps its promises when nodes are killed and restarted", func() {
		calls := f.during(perSecond, func() {
			for _, m := range f.machines {
				m.kill()
				m.start()
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(time.Second)
		})
		f.checkPromises(calls)
	})

	It("neither repeats nor gives up what hosts have that are silent for a while", func() {
		const silent, orders = 900 * time.Millisecond, 6
		for _, m := range f.machines[hostsEach:] {
			m.signal(syscall.SIGSTOP)
		}
		var work sync.WaitGroup
		calls := make([]call, orders)
		for i := range calls {
			work.Go(func() {
				defer GinkgoRecover()
				calls[i] = f.do(f.machines[i%hostsEach], http.MethodPost, "/orders/b", []byte("one battery"))
			})
		}
		time.Sleep(silent)
		for _, m := range f.machines[hostsEach:] {
			m.signal(syscall.SIGCONT)
		}
		work.Wait()
		f.checkPromises(calls)
		for _, c := range calls {
			Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
		}
	})

	It("sends nothing new to a leaving server after its bound", func() {
		m := f.machines[0]
		id := m.server.ID()
		var drained time.Time
		calls := f.during(perSecond, func() {
			time.Sleep(500 * time.Millisecond)
			m.server.Drain()
			drained = time.Now()
			time.Sleep(2 * drainBound)
		})
		f.checkPromises(calls)
		for _, run := range f.record.Runs() {
			if run.Server == id {
				Expect(run.At.Sub(drained)).To(BeNumerically("<", drainBound))
			}
		}
	})

	It("gives a server that comes back cold no more than it bears", func() {
		m := f.machines[1]
		calls := f.during(4*perSecond, func() {
			m.server.Crash()
			time.Sleep(300 * time.Millisecond)
			Expect(m.server.Start()).To(Succeed())
			time.Sleep(2 * coldFor)
		})
		f.checkPromises(calls)
		checkColdRate(f.record.Runs())
	})

	It("has a change in force everywhere within its bound, and never an older one after", func() {
		calls := f.during(perSecond, func() {
			f.publish(func(routes []map[string]any) []map[string]any {
				added := map[string]any{}
				for key, value := range routes[0] {
					added[key] = value
				}
				added["name"], added["prefix"] = "added", "/added/"
				return append(routes, added)
			})
			time.Sleep(configBound)
			for range 20 {
				for _, m := range f.machines {
					Expect(f.do(m, http.MethodGet, "/added/a", nil).good()).To(BeTrue())
				}
			}
		})
		f.checkPromises(calls)
	})

	DescribeTable("goes on while the store is away, and a restarted node learns from its peers",
		func(mode standin.MetaStoreMode) {
			f.store.SetMode(mode)
			m := f.machines[3]
			m.kill()
			m.start()
			Eventually(m.isReady, patience).Should(BeTrue())
			calls := f.during(perSecond, func() { time.Sleep(2 * time.Second) })
			f.checkPromises(calls)
			Expect(goodShare(calls, time.Time{})).To(BeNumerically(">=", 0.99))
			f.store.SetMode(standin.MetaStoreUp)
			f.publish(func(routes []map[string]any) []map[string]any { routes[0]["prefix"] = "/moved/"; return routes })
			Eventually(func() bool { return f.do(m, http.MethodGet, "/moved/a", nil).good() }, patience).Should(BeTrue())
		},
		Entry("it answers 503", standin.MetaStoreBusy),
		Entry("it is silent", standin.MetaStoreSilent),
	)

	It("learns changes that came while the store forgot its history", func() {
		f.store.SetMode(standin.MetaStoreBusy)
		f.publish(func(routes []map[string]any) []map[string]any { routes[0]["prefix"] = "/moved/"; return routes })
		f.store.Compact()
		f.store.SetMode(standin.MetaStoreUp)
		for _, m := range f.machines {
			Eventually(func() bool { return f.do(m, http.MethodGet, "/moved/a", nil).good() }, patience).Should(BeTrue())
		}
	})

	// Guards against nodes that ignore the store after a restore, go back to what it lost, or
	// send requests to a server whose draining it lost.
	It("goes on when the store is restored from an older copy", func() {
		adding := func(name string) func(routes []map[string]any) []map[string]any {
			return func(routes []map[string]any) []map[string]any {
				added := maps.Clone(routes[0])
				added["name"], added["prefix"] = name, "/"+name+"/"
				return append(routes, added)
			}
		}
		onAll := func(path string) func() bool {
			return func() bool {
				return !slices.ContainsFunc(f.machines, func(m *machine) bool { return !f.do(m, http.MethodGet, path, nil).good() })
			}
		}
		backup := f.store.Copy()
		drained := f.machines[0].server
		drained.Drain()
		drainedAt := time.Now()
		f.publish(adding("lost"))
		Eventually(onAll("/lost/a"), patience).Should(BeTrue())
		time.Sleep(time.Until(drainedAt.Add(drainBound)))
		calls := f.during(perSecond, func() {
			f.store.SetMode(standin.MetaStoreBusy)
			time.Sleep(time.Second)
			f.store.Restore(backup)
			f.store.SetMode(standin.MetaStoreUp)
			time.Sleep(4 * time.Second)
		})
		f.checkPromises(calls)
		Expect(goodShare(calls, time.Time{})).To(BeNumerically(">=", 0.99))
		Expect(onAll("/lost/a")()).To(BeTrue(), "a newer configuration stays in force")
		f.publish(adding("after"))
		Eventually(onAll("/after/a"), patience).Should(BeTrue())
		Expect(f.do(f.machines[1], http.MethodGet, "/lost/a", nil).good()).To(BeFalse())
		for _, run := range f.record.Runs() {
			if run.Server == drained.ID() {
				Expect(run.At).To(BeTemporally("<", drainedAt.Add(drainBound)))
			}
		}
	})

	It("explains a refused request by its id", func() {
		for _, m := range f.machines[:hostsEach] {
			m.server.Leave()
		}
		var refused call
		Eventually(func() string {
			refused = f.do(f.machines[4], http.MethodGet, "/status/a", nil)
			return f.logsOf(refused.id)
		}, patience).Should(And(
			ContainSubstring(`"reason":"lacks-resource"`), ContainSubstring("answered by the node itself"),
		))
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	})

	It("reads its settings again on SIGHUP and drops nothing", func() {
		m := f.machines[0]
		calls := f.during(perSecond, func() {
			for i := range 5 {
				m.logLevel = []string{"info", "debug"}[i%2]
				m.writeSettings(m.ip)
				m.signal(syscall.SIGHUP)
				time.Sleep(200 * time.Millisecond)
			}
			Expect(os.WriteFile(m.settingsFile(), []byte(`{"store":`), 0o600)).To(Succeed())
			m.signal(syscall.SIGHUP)
			time.Sleep(200 * time.Millisecond)
		})
		f.checkPromises(calls)
		Expect(goodShare(calls, time.Time{})).To(Equal(1.0))
		data, err := os.ReadFile(m.log)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(And(ContainSubstring("settings reloaded"), ContainSubstring("settings rejected")))
	})
})

// checkColdRate checks that no cold server got more than one and a half times
// its rate, and a few requests beside, in any second.
func checkColdRate(runs []standin.MeshRun) {
	GinkgoHelper()
	const overshoot, slack = 1.5, 5
	byServer := map[string][]time.Time{}
	for _, run := range runs {
		if run.Cold {
			byServer[run.Server] = append(byServer[run.Server], run.At)
		}
	}
	for server, times := range byServer {
		for i := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) < time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", int(coldRate*overshoot+slack)), server)
		}
	}
}
