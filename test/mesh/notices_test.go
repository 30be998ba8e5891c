package mesh

import (
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/standin"
)

// The platform's bound on a server that states a request limit: from limitSettleTime
// after it first does so, it gets in any limitWindow at most limitOvershoot times its
// limit, and limitSlack requests more. Requests within limitNoticeTime don't count.
const (
	limitSettleTime = 3 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	limitWindow     = 4 * time.Second
	limitOvershoot  = 1.5
	limitSlack      = 5
)

// mostRunsInWindow returns the most runs of a server that count in any window.
func (f *fleet) mostRunsInWindow(server string, statedAt time.Time) int {
	var runs []time.Time
	for _, run := range f.record.Runs() {
		if run.Server == server && run.At.After(statedAt.Add(limitNoticeTime)) {
			runs = append(runs, run.At)
		}
	}
	most := 0
	for last, end := range runs {
		if end.Before(statedAt.Add(limitSettleTime)) {
			continue
		}
		count := 0
		for _, at := range runs[:last+1] {
			if end.Sub(at) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

var _ = Describe("servers that state something about themselves", func() {
	var f *fleet

	BeforeEach(func() { f = startFleet(GinkgoT().TempDir(), nil) })

	// Guards against gates that do not read the limit: servers got ten times as much.
	It("gives servers no more than the request limit that they state", func() {
		limits := []float64{1, 0.5}
		statedAt := time.Now()
		calls := f.during(perSecond, func() {
			for i, limit := range limits {
				f.machines[i].server.State("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
			}
			time.Sleep(limitSettleTime + limitWindow)
		})
		f.checkPromises(calls)
		for i, limit := range limits {
			permitted := int(limitOvershoot*limit*limitWindow.Seconds()) + limitSlack
			Expect(f.mostRunsInWindow(f.machines[i].server.ID(), statedAt)).To(BeNumerically("<=", permitted))
		}
		Expect(goodShare(calls, statedAt)).To(BeNumerically(">", 0.95), "the third server has room for all requests")
	})

	// Guards against a limit that is lost with the node that observed it.
	It("keeps a server's request limit when the node beside it is killed", func() {
		const limit = 1.0
		m := f.machines[0]
		statedAt := time.Now()
		calls := f.during(perSecond, func() {
			m.server.State("Server-Limit", "1")
			for range 3 {
				time.Sleep(limitWindow / 2)
				m.kill()
				m.start()
			}
			time.Sleep(limitWindow / 2)
		})
		f.checkPromises(calls)
		permitted := int(limitOvershoot*limit*limitWindow.Seconds()) + limitSlack
		Expect(f.mostRunsInWindow(m.server.ID(), statedAt)).To(BeNumerically("<=", permitted))
	})

	// Guards against nodes that learn only from the store that a server leaves.
	It("sends nothing to a server that states that it leaves after its bound", func() {
		m := f.machines[0]
		var statedAt time.Time
		calls := f.during(perSecond, func() {
			f.store.SetMode(standin.MetaStoreBusy)
			m.server.State("Server-Leaving", "1")
			statedAt = time.Now()
			time.Sleep(2 * drainBound)
			m.signal(syscall.SIGKILL)
			_ = m.wait() // it reports the signal
			m.start()
			time.Sleep(2 * drainBound)
			f.store.SetMode(standin.MetaStoreUp)
		})
		f.checkPromises(calls)
		for _, run := range f.record.Runs() {
			if run.Server == m.server.ID() {
				Expect(run.At).To(BeTemporally("<", statedAt.Add(drainBound)))
			}
		}
	})
})
