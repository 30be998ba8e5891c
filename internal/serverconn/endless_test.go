package serverconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/serverconn"
	"boragefall/internal/verdict"
)

const (
	// concurrentRequests is the number of concurrent requests to one server.
	concurrentRequests = 12
	// maxBytesPerRequest bounds what each of them may allocate: the smallest host
	// has 184 MB for the process with all its requests.
	maxBytesPerRequest = 2 << 20
)

// writeUntilClosed writes start, then repeats text until the connection is closed.
func writeUntilClosed(c net.Conn, start, text string) {
	block := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	_, err := io.WriteString(c, start)
	for err == nil {
		_, err = c.Write(block)
	}
}

// bytesAllocated returns the bytes allocated while run executes.
func bytesAllocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// heapInUse returns the bytes on the heap after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var _ = Describe("a server that sends bytes without end", func() {
	// A faulty server may send bytes that are not an answer until its peer closes.
	DescribeTable("in place of an answer is disconnected at once, with bounded memory",
		func(start, text string) {
			s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					writeUntilClosed(c, start, text)
				}
			})
			c := newClient(s)
			used := bytesAllocated(func() {
				var work sync.WaitGroup
				for i := range 2 * concurrentRequests { // as many health checks as requests
					work.Go(func() {
						defer GinkgoRecover()
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						defer cancel()
						request := newGet("1")
						if i%2 == 1 {
							request = newGet("")
							request.ServerRequest.Probe = true
						}
						_, err := c.Do(ctx, request)
						Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
						Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
						Expect(ctx.Err()).NotTo(HaveOccurred())
					})
				}
				work.Wait()
			})
			Expect(used).To(BeNumerically("<", 2*concurrentRequests*maxBytesPerRequest))
		},
		Entry("one header line", "HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "abcdefgh"),
		Entry("header lines", "HTTP/1.1 200 OK\r\nId: 1\r\n", "X-More: abcdefgh\r\n"),
		Entry("a status line", "HTTP/1.1 200 ", "abcdefgh"),
		Entry("no line at all", "", "abcdefgh"),
		Entry("interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"),
		Entry("interim answers with long heads", "", "HTTP/1.1 102 Processing\r\nX: "+strings.Repeat("a", 60_000)+"\r\n\r\n"),
		Entry("answers to other requests", "", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 1\r\n\r\nx"),
		Entry("the body of an answer to another request", "HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"),
		Entry("a chunk extension", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n8;x=", "abcdefgh"),
		Entry("trailers", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: abcdefgh\r\n"),
	)

	DescribeTable("in an answer's body is read no faster than the body is consumed, and disconnected on Close",
		func(start, text string) {
			closed := make(chan struct{})
			s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); !ok {
					return
				}
				defer close(closed)
				writeUntilClosed(c, start, text)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			before := heapInUse()
			answer, err := newClient(s).Do(ctx, newGet("1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.CopyN(io.Discard, answer.Body, 64<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(heapInUse() - before).To(BeNumerically("<", maxBytesPerRequest))
			Expect(answer.Body.Close()).To(Succeed())
			Eventually(closed).Should(BeClosed())
		},
		Entry("without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "abcdefgh"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n"),
	)

	It("after the stated length of an answer is disconnected once the answer is returned", func() {
		closed := make(chan struct{}, 2)
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); ok {
				// One write: bytes of a later one could arrive when the connection is
				// in use again.
				writeUntilClosed(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole"+strings.Repeat("a", 1<<10), "abcdefgh")
				closed <- struct{}{}
			}
		})
		c := newClient(s, func(cfg *serverconn.Config) { cfg.MaxConnections = 1 })
		Expect(do(c, newGet("1"))).To(Equal("whole"))
		Expect(do(c, newGet("1"))).To(Equal("whole"))
		Eventually(closed).Should(Receive())
	})

	It("is disconnected at the deadline of the request", func() {
		closed := make(chan struct{})
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); ok {
				defer close(closed)
				writeUntilClosed(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "abcdefgh")
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		answer, err := newClient(s).Do(ctx, newGet("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, answer.Body)
		Expect(err).To(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		Eventually(closed).Should(BeClosed())
	})
})

var _ = Describe("an answer without a request ID", func() {
	// A duplicate answer may arrive without its request ID on a reused connection.
	It("is not matched to any request", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, _, ok := readRequest(r); !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			}
		})
		_, err := do(newClient(s), newGet("2"))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
	})

	It("is accepted for a health check", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); ok {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		probe := newGet("")
		probe.ServerRequest.Probe = true
		Expect(do(newClient(s), probe)).To(Equal("ok"))
	})
})
