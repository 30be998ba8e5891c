package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"boragefall/internal/telemetry"
)

// Guards against answers that no server of a route gave: net/http answers OPTIONS * with an
// unsigned 200 unless it is told not to.
func TestTargetWithoutAPathIsAnsweredByTheEntry(t *testing.T) {
	for _, line := range []string{"OPTIONS *", "GET *", "OPTIONS /none/1", "HEAD /none/1", "PROPFIND /none/1", "CONNECT host:80", "GET http://mesh.example/none/1"} {
		t.Run(line, func(t *testing.T) {
			g := NewWithT(t)
			entry := newKeyWorld().entry
			entry.Meter, entry.Logger = fakeMeter{}, telemetry.Silent()
			entry.Stopping, entry.Refusing, entry.InFlight = &atomic.Bool{}, &atomic.Bool{}, &atomic.Int64{}
			server := newCallersServer(entry)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			go func() { _ = server.Serve(l) }() // it ends with Close
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, line+" HTTP/1.1\r\nHost: mesh.example\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).NotTo(Equal(http.StatusOK))
		})
	}
}
