package mesh

import (
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	contact = 3 * time.Second // after which nodes have heard of a disruption
	// permittedRetries is how often a request that crashes servers may reach one later
	// than contact after the third crash.
	permittedRetries = 3
	crashDown        = time.Second // between the end of a server and its next start
)

var _ = Describe("a mesh whose servers break off requests", func() {
	var f *fleet

	BeforeEach(func() { f = startFleet(GinkgoT().TempDir(), nil) })

	expectCalm := func() {
		GinkgoHelper()
		time.Sleep(contact + coldFor)
		for _, c := range f.during(perSecond, func() { time.Sleep(3 * time.Second) }) {
			Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
		}
	}

	// Guards against lost answers that are taken for crashes: the page was refused by all
	// nodes for ten minutes.
	It("serves a page that many read after answers to it were lost", func() {
		const lostShare = 0.4
		calls := f.during(2*perSecond, func() {
			for range 3 {
				for _, m := range f.machines[:hostsEach] {
					m.server.SetFault(func(r *http.Request) bool { return r.Method == http.MethodGet && rand.Float64() < lostShare })
				}
				time.Sleep(2 * time.Second)
				for _, m := range f.machines[:hostsEach] {
					m.server.SetFault(nil)
				}
				time.Sleep(time.Second)
			}
		})
		f.checkPromises(calls)
		expectCalm()
	})

	// Guards against requests that are refused since they ran while another one crashed
	// their server, and against one that crashes servers again and again.
	It("refuses the request that crashes servers, and no page that runs beside it", func() {
		const pageWork = 200 * time.Millisecond
		for _, m := range f.machines[:hostsEach] {
			m.server.SetFault(func(r *http.Request) bool {
				if r.URL.Path != "/status/crash" {
					time.Sleep(pageWork)
					return false
				}
				m.server.Crash()
				time.AfterFunc(crashDown, func() {
					defer GinkgoRecover()
					Expect(m.server.Start()).To(Succeed())
				})
				return true
			})
		}
		var runs []time.Time
		calls := f.during(perSecond, func() {
			for n, began := 0, time.Now(); time.Since(began) < 20*time.Second; n++ {
				c := f.do(f.machines[hostsEach+n%hostsEach], http.MethodGet, "/status/crash", nil)
				for _, run := range f.record.Runs() {
					if run.ID == c.id {
						runs = append(runs, run.At)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		f.checkPromises(calls)
		Expect(len(runs)).To(BeNumerically(">=", 3))
		late := 0
		for _, at := range runs {
			if at.After(runs[2].Add(contact)) {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", permittedRetries))
		expectCalm()
	})
})
