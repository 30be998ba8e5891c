package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/backend"
	"boragefall/internal/verdict"
)

const (
	concurrentRequests = 12
	// maxBytesPerRequest bounds what each of them may allocate: the smallest host has
	// 184 MB for the process with all its requests.
	maxBytesPerRequest = 2 << 20
)

// serveEndless writes start in place of an answer, then text until the peer closes.
func serveEndless(start, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer func() { _ = conn.Close() }() // nothing is left to do with it
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return // the client has left
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, err = io.WriteString(conn, start)
				block := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("a server that sends bytes without end", func() {
	// Guards against heads that are kept whole: as many as there are connections to the
	// server use up the host's memory.
	DescribeTable("in place of an answer is disconnected with bounded memory",
		func(start, text string) {
			client := backend.NewClient(backend.Config{Address: serveEndless(start, text), Connections: concurrentRequests})
			DeferCleanup(client.Close)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var work sync.WaitGroup
			for range concurrentRequests {
				work.Go(func() {
					defer GinkgoRecover()
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					_, err := client.Do(ctx, newRequest("x"))
					Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
					Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
				})
			}
			work.Wait()
			runtime.ReadMemStats(&after)
			Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", concurrentRequests*maxBytesPerRequest))
		},
		Entry("one header line", "HTTP/1.1 200 OK\r\nX: ", "abcdefgh"),
		Entry("header lines", "HTTP/1.1 200 OK\r\n", "X-More: abcdefgh\r\n"),
		Entry("a status line", "HTTP/1.1 200 ", "abcdefgh"),
		Entry("no line at all", "", "abcdefgh"),
		Entry("interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"),
		Entry("interim answers with long heads", "", "HTTP/1.1 102 Processing\r\nX: "+strings.Repeat("a", 60_000)+"\r\n\r\n"),
	)

	DescribeTable("after an answer's head costs no memory beyond the buffers",
		func(start, text string) {
			client := backend.NewClient(backend.Config{Address: serveEndless(start, text), Connections: concurrentRequests})
			DeferCleanup(client.Close)
			answer, err := client.Do(context.Background(), newRequest("x"))
			Expect(err).NotTo(HaveOccurred())
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _ = io.CopyN(io.Discard, answer.Body, 64<<20) // some of these bodies are malformed
			runtime.ReadMemStats(&after)
			Expect(answer.Body.Close()).To(Succeed())
			Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxBytesPerRequest))
		},
		Entry("in a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n"),
		Entry("in a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;x=", "abcdefgh"),
		Entry("in trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: abcdefgh\r\n"),
	)
})
