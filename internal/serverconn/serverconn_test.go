package serverconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/verdict"
)

func TestServerConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serverconn")
}

// headers is a protocol with headers of this test's own.
type headers struct{}

func (headers) ReadCallerRequest(http.Header) protocol.CallerRequest { return protocol.CallerRequest{} }
func (headers) WriteServerRequest(h http.Header, o protocol.ServerRequest) {
	h.Set("Id", o.ID)
}
func (headers) ReadServerResponse(status int, h http.Header) protocol.ServerResponse {
	r := protocol.ServerResponse{ID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != "", Signed: h.Get("Unsigned") == ""}
	if h.Get("Idle") != "" {
		r.IdleTimeout = time.Second
	}
	return r
}
func (headers) WriteRefusal(http.Header, string, *verdict.Error) int { return 0 }

// server is a TCP server whose connections are handled by a script.
type server struct {
	net.Listener
	mu    sync.Mutex
	conns int
}

func (s *server) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// listen starts a server that runs script for each connection, numbered from 0.
func listen(script func(n int, c net.Conn, r *bufio.Reader)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &server{Listener: l}
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := s.conns
			s.conns++
			s.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads a request and returns its ID and body.
func readRequest(r *bufio.Reader) (id, body string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	data, err := io.ReadAll(request.Body)
	return request.Header.Get("Id"), string(data), err == nil
}

func reply(c net.Conn, id, body string, extra ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(extra, ""), body)
}

func newClient(s *server, options ...func(*serverconn.Config)) *serverconn.Client {
	cfg := serverconn.Config{Address: s.Addr().String()}
	for _, c := range options {
		c(&cfg)
	}
	return serverconn.NewClient(serverconn.NewPool(cfg), headers{})
}

func newGet(id string) serverconn.Request {
	return serverconn.Request{
		Request:       &contract.Request{ID: id, Method: http.MethodGet, URI: "/a%2Fb?x=1", Host: "h.example", Header: http.Header{}, Idempotent: true, Body: http.NoBody},
		ServerRequest: protocol.ServerRequest{ID: id},
	}
}

func do(c *serverconn.Client, r serverconn.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

var _ = Describe("a connection to the server", func() {
	It("carries several requests, byte for byte", func() {
		lines := make(chan string, 2)
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				lines <- strings.TrimSpace(line)
				for strings.TrimSpace(line) != "" {
					if line, err = r.ReadString('\n'); err != nil {
						return
					}
				}
				reply(c, "1", "one")
			}
		})
		c := newClient(s)
		for range 2 {
			Expect(do(c, newGet("1"))).To(Equal("one"))
			Expect(lines).To(Receive(Equal("GET /a%2Fb?x=1 HTTP/1.1")))
		}
		Expect(s.accepted()).To(Equal(1))
	})

	It("skips a second answer to an earlier request", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if id == "2" {
					reply(c, "1", "late")
				}
				reply(c, id, "answer "+id)
			}
		})
		c := newClient(s)
		Expect(do(c, newGet("1"))).To(Equal("answer 1"))
		Expect(do(c, newGet("2"))).To(Equal("answer 2"))
		Expect(s.accepted()).To(Equal(1))
	})

	It("is not reused when bytes follow a complete answer", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				reply(c, id, "answer "+id+"trailing garbage"[:0])
				_, _ = io.WriteString(c, "garbage")
			}
		})
		c := newClient(s)
		Expect(do(c, newGet("1"))).To(Equal("answer 1"))
		time.Sleep(20 * time.Millisecond)
		Expect(do(c, newGet("2"))).To(Equal("answer 2"))
		Expect(s.accepted()).To(Equal(2))
	})

	DescribeTable("never returns a truncated or unmatched answer as complete",
		func(script func(c net.Conn)) {
			s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					script(c)
				}
			})
			_, err := do(newClient(s), newGet("1"))
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
		},
		Entry("truncated before the stated length", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort")
		}),
		Entry("truncated between chunks", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		}),
		Entry("connection reset without a stated length", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}),
		Entry("no HTTP at all", func(c net.Conn) { _, _ = io.WriteString(c, "\x00\x01nonsense\r\n\r\n") }),
		Entry("a success without a signature", func(c net.Conn) { reply(c, "1", "forged", "Unsigned: 1\r\n") }),
		Entry("only answers to other requests", func(c net.Conn) {
			for range 8 {
				reply(c, "other", "x")
			}
		}),
	)

	It("accepts an answer without a length that ends with its connection", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nwhole")
		})
		Expect(do(newClient(s), newGet("1"))).To(Equal("whole"))
	})

	It("is not reused when the server answers before it has read the request body", func() {
		s := listen(func(n int, c net.Conn, r *bufio.Reader) {
			if n == 0 {
				_, _ = r.ReadString('\n')
				reply(c, "1", "early")
				time.Sleep(time.Second)
				return
			}
			id, _, _ := readRequest(r)
			reply(c, id, "second")
		})
		c := newClient(s)
		upload := newGet("1")
		upload.Method, upload.ContentLength, upload.Body = http.MethodPost, 32<<20, io.LimitReader(endlessReader{}, 32<<20)
		Expect(do(c, upload)).To(Equal("early"))
		Expect(do(c, newGet("2"))).To(Equal("second"))
		Expect(s.accepted()).To(Equal(2))
	})

	It("returns NotRun when it can't be opened", func() {
		s := listen(func(int, net.Conn, *bufio.Reader) {})
		_ = s.Close()
		_, err := do(newClient(s), newGet("1"))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonUnreachable))
	})

	It("is replaced when the server closed it while it was idle", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			id, _, _ := readRequest(r)
			reply(c, id, "answer "+id)
		})
		c := newClient(s)
		Expect(do(c, newGet("1"))).To(Equal("answer 1"))
		time.Sleep(20 * time.Millisecond)
		request := newGet("2")
		request.Idempotent = false
		Expect(do(c, request)).To(Equal("answer 2"))
	})

	It("is closed before the server's idle timeout, and sooner for non-idempotent requests", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				reply(c, id, "answer", "Idle: 1\r\n")
			}
		})
		now := time.Unix(1000, 0)
		c := newClient(s, func(cfg *serverconn.Config) {
			cfg.FreshIdleTimeout = 50 * time.Millisecond
			cfg.Now = func() time.Time { return now }
		})
		_, _ = do(c, newGet("1"))
		now = now.Add(100 * time.Millisecond)
		_, _ = do(c, newGet("2"))
		Expect(s.accepted()).To(Equal(1))
		now = now.Add(100 * time.Millisecond)
		request := newGet("3")
		request.Idempotent = false
		_, _ = do(c, request)
		Expect(s.accepted()).To(Equal(2))
		now = now.Add(time.Second)
		_, _ = do(c, newGet("4"))
		Expect(s.accepted()).To(Equal(3))
	})

	// When idempotent requests took the most recently used connection, each
	// non-idempotent request that arrived while it was in use found the others too old:
	// 27 connections in one day to a server with 7 slots.
	It("stays fresh for non-idempotent requests through idempotent ones", func() {
		const connections, interval = 3, 500 * time.Millisecond
		received := make(chan struct{}, connections)
		var release sync.WaitGroup
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if id == "together" {
					received <- struct{}{}
					release.Wait()
				}
				reply(c, id, "answer")
			}
		})
		now := time.Unix(1000, 0)
		c := newClient(s, func(cfg *serverconn.Config) { cfg.Now = func() time.Time { return now } })
		doConcurrently := func(idempotent bool) {
			release.Add(1)
			var work sync.WaitGroup
			for range connections {
				work.Go(func() {
					defer GinkgoRecover()
					r := newGet("together")
					r.Idempotent = idempotent
					Expect(do(c, r)).To(Equal("answer"))
				})
			}
			for range connections {
				Eventually(received).Should(Receive())
			}
			release.Done()
			work.Wait()
		}
		doConcurrently(true)
		for range 20 {
			now = now.Add(interval)
			Expect(do(c, newGet("1"))).To(Equal("answer"))
		}
		doConcurrently(false)
		Expect(s.accepted()).To(Equal(connections))
	})

	It("is closed at once when its request is canceled", func() {
		closed := make(chan time.Time, 1)
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = r.ReadByte()
			closed <- time.Now()
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		start := time.Now()
		_, err := newClient(s).Do(ctx, newGet("1"))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonCanceled))
		var at time.Time
		Eventually(closed).Should(Receive(&at))
		// A server must not go on working for a canceled request.
		Expect(at.Sub(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("attributes a failed request body to the caller", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
		upload := newGet("1")
		upload.Method, upload.ContentLength = http.MethodPost, 100
		upload.Body = io.MultiReader(strings.NewReader("part"), failingReader{})
		_, err := do(newClient(s), upload)
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonCanceled))
	})

	It("is not opened beyond the connection limit", func() {
		s := listen(func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte(); time.Sleep(time.Second) })
		c := newClient(s, func(cfg *serverconn.Config) { cfg.MaxConnections = 1 })
		go func() { _, _ = do(c, newGet("1")) }()
		Eventually(s.accepted).Should(Equal(1))
		_, err := do(c, newGet("2"))
		Expect(err).To(MatchError(serverconn.ErrConnectionLimit))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	})
})

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("caller closed the connection") }

var _ = Describe("a server that writes an earlier refusal once more", func() {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

	// Guards against a caller that is told "not run" while the server runs its request: the
	// request came to the same server twice, and the copy of its first refusal was taken
	// for the answer to the second send.
	It("can't pass it off as the answer to the same request sent again", func() {
		var mu sync.Mutex
		ran := map[string]int{}
		s := listen(func(n int, c net.Conn, r *bufio.Reader) {
			for sent := 0; ; sent++ {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				mu.Lock()
				first := n == 0 && sent == 0
				if !first {
					ran[id]++
				}
				mu.Unlock()
				if n == 0 {
					_, _ = fmt.Fprintf(c, refusal, id)
				}
				if !first {
					reply(c, id, "served")
				}
			}
		})
		client := newClient(s)
		answer, err := client.Do(context.Background(), newGet("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ServerResponse.NotExecuted).To(BeTrue())
		_ = answer.Body.Close() // empty
		answer, err = client.Do(context.Background(), newGet("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ServerResponse.NotExecuted).To(BeFalse(), "the server ran the request")
		_ = answer.Body.Close() // not of interest
		Expect(s.accepted()).To(Equal(2))
	})

	// Guards against a request that is refused because the only connections left are those
	// that it must not use.
	It("does not use up the connections", func() {
		s := listen(func(n int, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if n == 0 {
					_, _ = fmt.Fprintf(c, refusal, id)
					continue
				}
				reply(c, id, "served")
			}
		})
		client := newClient(s, func(cfg *serverconn.Config) { cfg.MaxConnections = 1 })
		answer, err := client.Do(context.Background(), newGet("a"))
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close() // empty
		Expect(do(client, newGet("a"))).To(Equal("served"))
	})

	It("can't pass it off as the answer to another request", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			refused := ""
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				if refused != "" {
					_, _ = fmt.Fprintf(c, refusal, refused)
					reply(c, id, "served")
					continue
				}
				refused = id
				_, _ = fmt.Fprintf(c, refusal, id)
			}
		})
		client := newClient(s)
		answer, err := client.Do(context.Background(), newGet("a"))
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close() // empty
		Expect(do(client, newGet("b"))).To(Equal("served"))
		Expect(s.accepted()).To(Equal(1))
	})

	// Guards against a health check that takes the copy for its own answer.
	It("can't pass it off as the answer to a health check", func() {
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = fmt.Fprintf(c, refusal, "a")
				if id == "" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
		})
		client := newClient(s)
		answer, err := client.Do(context.Background(), newGet("a"))
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close() // empty
		probe := newGet("")
		probe.ServerRequest.Probe = true
		answer, err = client.Do(context.Background(), probe)
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close() // empty
		Expect(answer.Status).To(Equal(http.StatusOK))
	})
})

var _ = Describe("a server that stops within the head of its answer", func() {
	// Guards against a truncated head that is taken for the head of an empty answer.
	It("gives no answer, wherever it stops", func() {
		const head = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n"
		const headWithLength = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n"
		const headWithoutLength = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
		for _, whole := range []string{head, headWithLength, headWithoutLength} {
			for end := range len(whole) {
				s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
					if _, _, ok := readRequest(r); ok {
						_, _ = io.WriteString(c, whole[:end])
					}
				})
				_, err := do(newClient(s), newGet("a"))
				Expect(err).To(HaveOccurred(), "%q", whole[:end])
				Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun), "%q", whole[:end])
				_ = s.Close() // one server for each case
			}
		}
	})
})
