package serverconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/verdict"
)

// newUpload returns a request with a body that doesn't fit the buffers of a connection.
func newUpload(id string, body io.Reader) serverconn.Request {
	return serverconn.Request{
		Request: &contract.Request{
			ID: id, Method: http.MethodPost, URI: "/upload", Host: "h.example", Header: http.Header{}, Body: body, ContentLength: uploadBytes,
		},
		ServerRequest: protocol.ServerRequest{ID: id},
	}
}

const uploadBytes = 32 << 20

func readHead(r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

var _ = Describe("a response that is invalid or incomplete", func() {
	// Guards against passing on a status that is none, or reading on for another response.
	DescribeTable("with a status out of range ends the connection",
		func(status string) {
			closed := make(chan struct{})
			s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, _, ok := readRequest(r); !ok {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status)
				reply(c, "1", "second")
				_, _ = io.Copy(io.Discard, r) // until the node closes the connection
			})
			body, err := do(newClient(s), newGet("1"))
			Expect(err).To(HaveOccurred(), body)
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
			Eventually(closed, "5s").Should(BeClosed())
		},
		Entry("000", "000"), Entry("099", "099"), Entry("a sign", "+12"), Entry("600", "600"), Entry("999", "999"),
	)

	It("passes on the statuses at the ends of the range", func() {
		for _, status := range []int{200, 299, 599} {
			s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r) // a broken one gets no answer that counts
				_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 %d X\r\nId: 1\r\nContent-Length: 1\r\n\r\nx", status)
			})
			body, err := do(newClient(s), newGet("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("x"))
		}
	})

	// Guards against taking a part for a whole: when the write of the request reports the
	// reset, the reader sees an ordinary end.
	DescribeTable("without a length is truncated if the connection is reset while the request is written",
		func(size int) {
			for range 10 {
				answered := make(chan struct{})
				s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
					if !readHead(r) {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+strings.Repeat("p", size))
					close(answered)
					time.Sleep(20 * time.Millisecond) // the writer fills the buffers and blocks
					_ = c.(*net.TCPConn).SetLinger(0)
				})
				body, err := do(newClient(s), newUpload("1", &pausedBody{at: uploadBytes - 1, until: answered}))
				Expect(err).To(HaveOccurred(), "%d bytes taken for the whole", len(body))
			}
		},
		Entry("a small one", 100), Entry("a large one, passed on as it arrives", 400<<10),
	)

	It("without a length is complete if the connection ends after the request was written", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); ok {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
			}
		})
		for range 20 {
			body, err := do(newClient(s), newUpload("1", &pausedBody{}))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
		}
	})
})

// pausedBody is uploadBytes long; its bytes from at on wait for until.
type pausedBody struct {
	sent, at int
	until    chan struct{}
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if b.sent == uploadBytes {
		return 0, io.EOF
	}
	if b.until != nil && b.sent >= b.at {
		<-b.until
	}
	limit := uploadBytes - b.sent
	if b.sent < b.at {
		limit = b.at - b.sent
	}
	n := min(len(p), limit)
	b.sent += n
	return n, nil
}
