package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/backend"
	"boragefall/internal/verdict"
)

const uploadBytes = 32 << 20

// serveRaw runs script for each connection and closes it then.
func serveRaw(script func(c *net.TCPConn, r *bufio.Reader)) *backend.Client {
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
				script(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	client := backend.NewClient(backend.Config{Address: listener.Addr().String()})
	DeferCleanup(client.Close)
	return client
}

// fetch sends a request and reads its answer.
func fetch(client *backend.Client, size int) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := newRequest("")
	r.Body, r.ContentLength = io.LimitReader(zeros{}, int64(size)), int64(size)
	answer, err := client.Do(ctx, r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer.Status, string(body), err
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("a response that is invalid or incomplete", func() {
	// Guards against passing on a status that is none.
	DescribeTable("with a status out of range is none, and ends the connection",
		func(status string) {
			closed := make(chan struct{})
			client := serveRaw(func(c *net.TCPConn, r *bufio.Reader) {
				defer close(closed)
				if request, err := http.ReadRequest(r); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", status)
				}
				_, _ = io.Copy(io.Discard, r) // until the node closes the connection
			})
			got, _, err := fetch(client, 1)
			Expect(err).To(HaveOccurred(), "status %d", got)
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
			Eventually(closed, "5s").Should(BeClosed())
		},
		Entry("000", "000"), Entry("099", "099"), Entry("101, unasked", "101"), Entry("600", "600"), Entry("999", "999"),
	)

	// Guards against taking a part for a whole: when the write of the request reports the
	// reset, the reader sees an ordinary end.
	It("without a length is truncated if the connection is reset while the request is written", func() {
		client := serveRaw(func(c *net.TCPConn, r *bufio.Reader) {
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if line == "\r\n" {
					break
				}
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("p", 100))
			time.Sleep(20 * time.Millisecond) // the writer fills the buffers and blocks
			_ = c.SetLinger(0)
		})
		for range 10 {
			_, body, err := fetch(client, uploadBytes)
			Expect(err).To(HaveOccurred(), "%d bytes taken for the whole", len(body))
		}
	})

	It("without a length is complete if the connection ends after the request was written", func() {
		client := serveRaw(func(c *net.TCPConn, r *bufio.Reader) {
			if request, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			}
		})
		for range 20 {
			status, body, err := fetch(client, uploadBytes)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
			Expect(body).To(Equal("whole"))
		}
	})
})
