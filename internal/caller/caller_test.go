package caller_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"boragefall/internal/caller"
	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/dispatch"
	"boragefall/internal/intake"
	"boragefall/internal/routing"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

const configJSON = `{
	"services": {"orders": {"slots": 2, "connections": 10}},
	"routes": {
		"lookup": {"match": {"pathPrefix": "/l"}, "service": "orders", "idempotent": true, "timeout": "5s"},
		"order": {"match": {"path": "/order"}, "service": "orders"},
		"keyed": {"match": {"path": "/keyed"}, "service": "orders", "key": "required"},
		"digest": {"match": {"path": "/digest"}, "service": "orders", "key": "digest"}
	}
}`

// dispatcher is a fake Dispatcher whose behaviour each test supplies.
type dispatcher func(ctx context.Context, r *contract.Request, body dispatch.Body) (*contract.Answer, error)

func (d dispatcher) Do(ctx context.Context, r *contract.Request, body dispatch.Body, _ int) (*contract.Answer, error) {
	return d(ctx, r, body)
}

func startServer(d dispatcher) *httptest.Server {
	snapshot, report := config.Build(1, []config.File{{Name: "a.json", Data: []byte(configJSON)}})
	Expect(report.OK()).To(BeTrue(), report.Error())
	view := &caller.View{Version: snapshot.Version, Table: routing.NewTable(snapshot.Document)}
	server := httptest.NewServer(caller.NewHandler(caller.Config{
		View: func() *caller.View { return view }, Leaving: func() bool { return leaving.Load() }, Dispatcher: d,
		Bodies: intake.NewBodyBuffer(intake.BodyConfig{}), Admitter: intake.NewAdmitter(intake.Config{}),
		Tracer: noop.NewTracerProvider().Tracer(""), Meter: telemetry.NewMetrics("h"), Logger: telemetry.Silent(),
	}))
	DeferCleanup(server.Close)
	return server
}

var leaving atomic.Bool

func newAnswer(status int, header http.Header, body io.Reader, length int64) (*contract.Answer, error) {
	return &contract.Answer{
		Status: status, Header: header, ContentLength: length, Body: io.NopCloser(body),
		Trailer: func() http.Header { return http.Header{"T1": {"v1"}} },
	}, nil
}

func send(server *httptest.Server, method, path, body string, header ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

var _ = Describe("Handler", func() {
	It("forwards a request without hop-by-hop headers and returns the answer with its trailers", func() {
		var received *contract.Request
		server := startServer(func(_ context.Context, r *contract.Request, _ dispatch.Body) (*contract.Answer, error) {
			received = r
			return newAnswer(201, http.Header{"X": {"1", "2"}}, strings.NewReader("done"), -1)
		})
		response, body, err := send(server, "GET", "/l/1?q=2", "", "Connection", "X-Secret", "X-Secret", "s",
			"Boragefall-Hops", "4", "Boragefall-Attempt", "1", "Boragefall-Deadline-Ms", "700", "Boragefall-Caller", "crew")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(201))
		Expect(response.Header["X"]).To(Equal([]string{"1", "2"}))
		Expect(response.Header.Get(contract.HeaderVerdict)).To(Equal("ran"))
		Expect(body).To(Equal("done"))
		Expect(response.Trailer).To(Equal(http.Header{"T1": {"v1"}}))
		Expect(received.Header).NotTo(HaveKey("X-Secret"))
		Expect([]any{received.URI, received.Hops, received.Attempt, received.Caller, received.Key}).To(Equal([]any{"/l/1?q=2", 5, 1, "crew", ""}))
		Expect(time.Until(received.Deadline)).To(BeNumerically("<", 700*time.Millisecond))
	})

	DescribeTable("sends no body where HTTP allows none",
		func(method string, status int) {
			server := startServer(func(context.Context, *contract.Request, dispatch.Body) (*contract.Answer, error) {
				return newAnswer(status, http.Header{}, strings.NewReader(""), -1)
			})
			response, body, err := send(server, method, "/l/1", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(status))
			Expect(body).To(BeEmpty())
		},
		Entry("HEAD", "HEAD", 200), Entry("204", "GET", 204), Entry("304", "GET", 304),
	)

	DescribeTable("aborts the connection when an answer is truncated",
		func(length int64) {
			server := startServer(func(context.Context, *contract.Request, dispatch.Body) (*contract.Answer, error) {
				truncated := io.MultiReader(strings.NewReader("half"), truncatedReader{})
				return newAnswer(200, http.Header{}, truncated, length)
			})
			_, _, err := send(server, "GET", "/l/1", "")
			Expect(err).To(HaveOccurred())
		},
		Entry("with a Content-Length", int64(8)), Entry("with chunked encoding", int64(-1)),
	)

	It("returns the verdict, the reason and Retry-After", func() {
		server := startServer(func(context.Context, *contract.Request, dispatch.Body) (*contract.Answer, error) {
			return nil, verdict.Refuse(verdict.ReasonOverloaded, 1200*time.Millisecond)
		})
		response, _, err := send(server, "POST", "/order", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Header.Get(contract.HeaderVerdict)).To(Equal("not-run"))
		Expect(response.Header.Get(contract.HeaderReason)).To(Equal("overloaded"))
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(response.Header.Get(contract.HeaderRequestID)).NotTo(BeEmpty())
	})

	// The dispatcher is never reached. The verdict for a keyed request must not be
	// not-run, because an earlier request with the same key may have run.
	DescribeTable("refuses requests that it can't serve",
		func(method, path, key string, status int, want string) {
			server := startServer(func(context.Context, *contract.Request, dispatch.Body) (*contract.Answer, error) {
				return nil, errors.New("unexpected call of the dispatcher")
			})
			header := []string{}
			if key != "" {
				header = append(header, contract.HeaderKey, key)
			}
			response, _, err := send(server, method, path, "", header...)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Header.Get(contract.HeaderVerdict)).To(Equal(want))
		},
		Entry("no route", "GET", "/none", "", 404, "not-run"),
		Entry("no route for a keyed request", "POST", "/none", "k1", 404, "may-have-run"),
		Entry("a missing key", "POST", "/keyed", "", 400, "not-run"),
		Entry("a malformed key", "POST", "/keyed", "a b", 400, "not-run"),
		Entry("dot segments", "GET", "/l/%2e%2e/order", "", 400, "not-run"),
		Entry("too many hops", "GET", "/none/../l", "", 400, "not-run"),
	)

	It("refuses a request that exceeds the hop limit", func() {
		server := startServer(nil)
		response, _, err := send(server, "GET", "/l/1", "", contract.HeaderHops, "32")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(508))
	})

	It("assigns keys by the route's key policy", func() {
		var keys []string
		var minted []bool
		server := startServer(func(_ context.Context, r *contract.Request, _ dispatch.Body) (*contract.Answer, error) {
			keys, minted = append(keys, r.Key), append(minted, r.KeyMinted)
			return newAnswer(200, http.Header{}, strings.NewReader(""), 0)
		})
		for _, path := range []string{"/order", "/order", "/digest", "/digest"} {
			_, _, err := send(server, "POST", path, "same")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(minted).To(Equal([]bool{true, true, false, false}))
		Expect(keys[0]).NotTo(Equal(keys[1]))
		Expect(keys[2]).To(Equal(keys[3]))
	})

	It("buffers an upload and replays it for another attempt", func() {
		data := bytes.Repeat([]byte("abc"), 20_000)
		server := startServer(func(_ context.Context, _ *contract.Request, body dispatch.Body) (*contract.Answer, error) {
			var got [2][]byte
			for i := range got {
				reader, ok := body.Open()
				if !ok {
					return nil, errors.New("body can't be replayed")
				}
				got[i], _ = io.ReadAll(reader)
			}
			return newAnswer(200, http.Header{}, bytes.NewReader(append(got[0], got[1]...)), -1)
		})
		_, body, err := send(server, "POST", "/order", string(data))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(strings.Repeat(string(data), 2)))
	})

	It("closes callers' connections while the node is leaving", func() {
		leaving.Store(true)
		defer leaving.Store(false)
		server := startServer(func(context.Context, *contract.Request, dispatch.Body) (*contract.Answer, error) {
			return newAnswer(200, http.Header{}, strings.NewReader("x"), 1)
		})
		response, _, err := send(server, "GET", "/l/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
	})

	It("cancels the request when the caller disconnects", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		server := startServer(func(ctx context.Context, _ *contract.Request, _ dispatch.Body) (*contract.Answer, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, ctx.Err())
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/order", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultTransport.RoundTrip(request)
		Expect(err).To(HaveOccurred())
		Eventually(ended, "20s").Should(BeClosed())
	})
})

// truncatedReader fails every read, like a body whose connection broke.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
