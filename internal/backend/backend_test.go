package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace"

	"boragefall/internal/backend"
	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

func newRequest(body string) *contract.Request {
	return &contract.Request{
		ID: "r1", Method: http.MethodPost, URI: "/orders", Host: "mesh",
		Header:   http.Header{contract.HeaderKey: {"k1"}},
		Deadline: time.Now().Add(time.Minute),
		Body:     strings.NewReader(body), ContentLength: int64(len(body)),
	}
}

func startServer(handler http.HandlerFunc) (*backend.Client, *httptest.Server) {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	client := backend.NewClient(backend.Config{Address: strings.TrimPrefix(server.URL, "http://"), Connections: 4})
	DeferCleanup(client.Close)
	return client, server
}

func readBody(a *contract.Answer) (string, error) {
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	return string(data), err
}

var _ = Describe("Client", func() {
	// net/http retries a request with an Idempotency-Key by itself when a reused
	// connection breaks.
	DescribeTable("sends a request once when a reused connection breaks",
		func(body string) {
			var runs atomic.Int64
			client, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) > 1 {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						_ = conn.Close()
					}
				}
			})
			first, err := client.Do(context.Background(), newRequest(body))
			Expect(err).NotTo(HaveOccurred())
			_, err = readBody(first)
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Do(context.Background(), newRequest(body))
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
			Expect(runs.Load()).To(Equal(int64(2)), "one run of each request")
		},
		Entry("with a body", "battery"),
		Entry("without a body", ""),
	)

	It("returns NotRun when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = backend.NewClient(backend.Config{Address: address}).Do(context.Background(), newRequest("x"))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonUnreachable))
	})

	It("reports a truncated answer as an error", func() {
		client, _ := startServer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		answer, err := client.Do(context.Background(), newRequest("x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = readBody(answer)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("returns MayHaveRun when the deadline passes while the request runs", func() {
		client, _ := startServer(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // only then does net/http detect that the client closed
			<-r.Context().Done()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := client.Do(ctx, newRequest("x"))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonDeadline))
	})

	It("forwards trailers, deadline and hops, and removes hop-by-hop headers", func() {
		client, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Trailer", "T1")
			w.Header().Set("Keep-Alive", "timeout=5")
			_, _ = io.WriteString(w, r.Header.Get(contract.HeaderHops)+r.Host)
			w.Header().Set("T1", "v1")
		})
		r := newRequest("x")
		r.Hops = 3
		answer, err := client.Do(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Header).NotTo(HaveKey("Keep-Alive"))
		body, err := readBody(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("3mesh"))
		Expect(answer.Trailer()).To(Equal(http.Header{"T1": {"v1"}}))
	})

	It("continues the trace with the span of this hop", func() {
		client, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Header.Get("Traceparent"))
		})
		span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}})
		r := newRequest("x")
		r.Header.Set("Traceparent", "00-ff000000000000000000000000000000-ff00000000000000-01")
		answer, err := client.Do(trace.ContextWithSpanContext(context.Background(), span), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(readBody(answer)).To(Equal("00-01000000000000000000000000000000-0200000000000000-00"))
	})

	It("treats a malformed load and a failed health check in a probe as no load and unhealthy", func() {
		client, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "not a number")
		})
		probe := client.Probe(context.Background(), backend.ProbeConfig{HealthPath: "/health", LoadPath: "/load"})
		Expect(probe).To(Equal(backend.Probe{}))
	})
})
