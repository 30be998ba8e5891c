package mesh

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a node that is stopping", func() {
	const longWork = 700 * time.Millisecond
	var f *fleet

	BeforeEach(func() { f = startFleetWithLongUploads(longWork) })

	// Guards against requests that are passed on late in a drain, run, and are cut off
	// without an answer at its end, among them requests that must not be repeated.
	DescribeTable("passes on nothing that it will not answer",
		func(size int) {
			const headAt = 2200 * time.Millisecond
			m := f.machines[0]
			for range 12 { // the node sees how long these requests take
				Expect(f.uploadUntil(m, size, time.Now()).good()).To(BeTrue())
			}
			m.signal(syscall.SIGTERM)
			stopped := time.Now()
			time.Sleep(headAt)
			var uploads sync.WaitGroup
			calls := make([]call, 12)
			for i := range calls {
				lastAt := stopped.Add(3500*time.Millisecond + time.Duration(i)*140*time.Millisecond)
				uploads.Go(func() {
					defer GinkgoRecover()
					calls[i] = f.uploadUntil(m, size, lastAt)
				})
			}
			uploads.Wait()
			Expect(m.wait()).To(Succeed())
			Expect(time.Since(stopped)).To(BeNumerically("<", grace))
			f.checkPromises(calls)
			answered := 0
			for i, c := range calls {
				if c.good() {
					answered++
					continue
				}
				Expect(f.record.Runs()).NotTo(ContainElement(HaveField("ID", c.id)), "upload %d: %+v\n%s", i, c, f.logsOf(c.id))
			}
			Expect(answered).To(BeNumerically(">=", 3), "%+v", calls)
		},
		Entry("of a few bytes", 4),
		Entry("that fits the memory", 300_000),
		Entry("that is passed on while it arrives", 3_000_000),
	)

	// Guards against connections that are closed without a word: a refusal says that a
	// request did not run.
	It("refuses requests on connections that were open before, until it ends", func() {
		m := f.machines[0]
		ended := make(chan call)
		for range 4 { // the node sees how long these requests take
			Expect(f.uploadUntil(m, 4, time.Now()).good()).To(BeTrue())
		}
		m.signal(syscall.SIGTERM)
		stopped := time.Now()
		go func() { // keeps the drain going
			defer GinkgoRecover()
			ended <- f.uploadUntil(m, 4, stopped.Add(3800*time.Millisecond))
		}()
		time.Sleep(callersTurn + time.Second)
		for time.Since(stopped) < 3700*time.Millisecond {
			c := f.do(m, http.MethodPost, "/orders/late", []byte("one battery"))
			Expect(c.status).To(Equal(http.StatusServiceUnavailable), "%+v\n%s", c, f.logsOf(c.id))
			Expect(f.record.Runs()).NotTo(ContainElement(HaveField("ID", c.id)))
		}
		last := <-ended
		Expect(last.good()).To(BeTrue(), "%+v\n%s", last, f.logsOf(last.id))
		Expect(m.wait()).To(Succeed())
	})
})
