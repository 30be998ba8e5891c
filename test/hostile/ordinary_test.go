package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// ordinaryClients is the number of clients of a data centre, all at one host here.
	ordinaryClients = 360
	// ordinaryRounds is the number of requests that each sends on its one connection.
	ordinaryRounds = 3
	// ordinaryHeadBytes is the longest head that the configuration's limits permit.
	ordinaryHeadBytes = 16 << 10
	// smallestMemoryMB and hostDescriptors are those of the smallest hosts.
	smallestMemoryMB = 134
	hostDescriptors  = 4100
)

// closedByLimits returns the lines of the metric of connections that a limit closed.
func closedByLimits(m *member) string {
	response, err := http.Get("http://" + m.admin + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }() // read to its end
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var lines []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "boragefall_connections_closed_total{") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Guards against limits that ordinary clients reach: each request gets a response on the
// connection that its client keeps, whatever the status.
var _ = Describe("ordinary clients", Serial, func() {
	It("meet no limit on the smallest hosts", func() {
		all := startPlatformWith(map[string]any{"memory-mb": smallestMemoryMB, "max-fds": hostDescriptors})
		Eventually(own).WithArguments(all).WithTimeout(patience).Should(Equal(http.StatusOK))
		head := "GET " + all[0].path + " HTTP/1.1\r\nHost: mesh.example\r\nDeadline-Ms: 2000\r\n"
		for i := range 30 {
			head += fmt.Sprintf("Header-%d: value\r\n", i)
		}
		head += "Long: " + strings.Repeat("a", ordinaryHeadBytes-len(head)-10) + "\r\n\r\n"
		var answered, served atomic.Int64
		var round sync.WaitGroup
		conns := make([]net.Conn, ordinaryClients)
		readers := make([]*bufio.Reader, ordinaryClients)
		for i := range conns {
			conn, err := net.Dial("tcp", all[0].callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_ = conn.SetDeadline(time.Now().Add(patience)) // a spec that hangs fails
			conns[i], readers[i] = conn, bufio.NewReader(conn)
		}
		for range ordinaryRounds {
			for i, conn := range conns {
				round.Go(func() {
					_, _ = io.WriteString(conn, head) // an error shows in the response
					response, err := http.ReadResponse(readers[i], nil)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, response.Body); err == nil {
						answered.Add(1)
					}
					if response.StatusCode == http.StatusOK {
						served.Add(1)
					}
				})
			}
			round.Wait()
		}
		AddReportEntry(fmt.Sprintf("%d of %d served, peak %.0f MiB", served.Load(), answered.Load(), all[0].status("VmHWM")))
		Expect(answered.Load()).To(BeEquivalentTo(ordinaryClients * ordinaryRounds))
		Expect(closedByLimits(all[0])).To(BeEmpty())
		Expect(closedByLimits(all[1])).To(BeEmpty())
	})
})
