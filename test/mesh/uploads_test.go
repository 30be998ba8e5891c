package mesh

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/standin"
)

// uploadLimit is the time that callers give an upload whose end comes late.
const uploadLimit = 5 * time.Second

// lateBody is a body whose last bytes come at a given time.
type lateBody struct {
	first, last io.Reader
	at          time.Time
}

func (b *lateBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	time.Sleep(time.Until(b.at))
	return b.last.Read(p)
}

// uploadUntil uploads a body through a machine's node whose last bytes are sent at a time.
func (f *fleet) uploadUntil(m *machine, size int, at time.Time) call {
	const lastBytes = 2
	c := call{id: uuid.NewString(), unsafe: true, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), uploadLimit)
	defer cancel()
	body := &lateBody{first: bytes.NewReader(make([]byte, size-lastBytes)), last: bytes.NewReader(make([]byte, lastBytes)), at: at}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(f.ports.callers)+"/uploads/late", body)
	Expect(err).NotTo(HaveOccurred())
	request.ContentLength = int64(size)
	request.Host = "mesh.example"
	request.Header.Set("Request-Id", c.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(uploadLimit.Milliseconds()))
	response, err := f.client.Transport.RoundTrip(request)
	if err != nil {
		c.err, c.took = err, time.Since(c.sent)
		return c
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	got, err := io.ReadAll(response.Body)
	c.err, c.status, c.took = err, response.StatusCode, time.Since(c.sent)
	c.whole = err == nil && bytes.Equal(got, standin.MeshAnswer(c.id, size))
	return c
}

// startFleetWithLongUploads starts a fleet whose servers of orders work for a while, and
// whose route for uploads permits late bodies.
func startFleetWithLongUploads(work time.Duration) *fleet {
	f := startFleet(GinkgoT().TempDir(), nil)
	f.publish(func(routes []map[string]any) []map[string]any {
		routes[2]["timeout"], routes[2]["target_latency"] = "6000ms", "2000ms"
		return routes
	})
	for _, m := range f.machines[hostsEach:] {
		m.server.SetFault(func(*http.Request) bool {
			time.Sleep(work)
			return false
		})
	}
	time.Sleep(configBound)
	return f
}

// uploadMalformed sends a chunked body whose second part is malformed, and returns the
// status of the answer; 0 without one.
func (f *fleet) uploadMalformed(m *machine) int {
	conn, err := net.Dial("tcp", m.address(f.ports.callers))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }() // nothing is left to do with it
	Expect(conn.SetDeadline(time.Now().Add(uploadLimit))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST /uploads/late HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", uuid.NewString())
	for n := 0; n < 64 && err == nil; n++ {
		_, err = fmt.Fprintf(conn, "8000\r\n%s\r\n", strings.Repeat("a", 0x8000))
	}
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond) // the first part is on its way to a server
	_, err = io.WriteString(conn, "no chunk\r\n")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode
}

var _ = Describe("an upload that its caller does not complete", func() {
	// Guards against a malformed body that closes the links over which the requests of
	// other callers are in progress.
	It("takes no other request with it", func() {
		const longWork = 300 * time.Millisecond
		f := startFleetWithLongUploads(longWork)
		var work sync.WaitGroup
		orders := make([]call, 45)
		for i := range orders {
			work.Go(func() {
				defer GinkgoRecover()
				orders[i] = f.do(f.machines[0], http.MethodPost, "/orders/b", []byte("one battery"))
			})
			if i%10 == 5 {
				work.Go(func() {
					defer GinkgoRecover()
					Expect(f.uploadMalformed(f.machines[0])).NotTo(Equal(http.StatusOK))
				})
			}
			time.Sleep(50 * time.Millisecond)
		}
		work.Wait()
		f.checkPromises(orders)
		for _, c := range orders {
			Expect(c.good()).To(BeTrue(), "%+v\n%s", c, f.logsOf(c.id))
		}
	})
})
