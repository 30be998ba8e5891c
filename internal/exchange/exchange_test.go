package exchange_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/telemetry"
	"boragefall/internal/transfer"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

func TestExchange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exchange")
}

// runnerFunc is a Runner that calls the function and reports no load.
type runnerFunc func(ctx context.Context, r *contract.Request) (*contract.Answer, error)

func (f runnerFunc) Run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	return f(ctx, r)
}

func (runnerFunc) Load() contract.Load {
	return contract.Load{}
}

// streamHandler passes request streams to an exchange server, or to serveRaw if set.
type streamHandler struct {
	server   *exchange.Server
	serveRaw func(head *wire.RequestHead, stream *link.Stream)
}

func (s streamHandler) ServeStream(ctx context.Context, _ link.Class, opening *wire.Opening, stream *link.Stream) {
	if s.serveRaw != nil {
		s.serveRaw(opening.GetRequest(), stream)
		return
	}
	s.server.Serve(ctx, opening.GetRequest(), stream)
}

func (s streamHandler) RefuseStream(_ link.Class, stream *link.Stream) error {
	return s.server.Refuse(stream)
}

// newClientAndServer returns a client and the address of a server that runs requests
// with run, or passes their streams to serveRaw if set.
func newClientAndServer(run runnerFunc, serveRaw func(*wire.RequestHead, *link.Stream)) (*exchange.Client, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	version := func() config.Version { return config.Version{Epoch: 1, Revision: 2} }
	handler := streamHandler{server: exchange.NewServer(run, version, telemetry.Silent()), serveRaw: serveRaw}
	server := link.NewListener(link.Config{}, link.Identity{}, &link.Counter{}, listener, handler, telemetry.Silent())
	go server.Serve(context.Background())
	dialer := link.NewDialer(link.Config{}, link.ClassRequest, link.Identity{}, &link.Counter{})
	DeferCleanup(func() {
		dialer.Close()
		server.Close()
	})
	return exchange.NewClient(dialer), server.Address()
}

func newRequest(body io.Reader, length int64) *contract.Request {
	return &contract.Request{
		ID: "r1", Method: http.MethodPost, URI: "/x", Service: "status", Header: http.Header{"A": {"b", "c"}},
		Deadline: time.Now().Add(time.Minute), Body: body, ContentLength: length,
		HostListEra: 3, HostListRevision: 8, FencedHosts: []host.ID{"h1"}, KeyTime: time.UnixMilli(1234), Priority: config.PriorityHigh,
	}
}

func newAnswer(body io.Reader, length int64) *contract.Answer {
	return &contract.Answer{
		Status: 200, Header: http.Header{"X": {"y"}}, ContentLength: length,
		Trailer: func() http.Header { return http.Header{"T": {"v"}} },
		Load:    contract.Load{Running: 3, Limit: 9, State: host.StateWarm, AnswerQueueDelay: 70 * time.Millisecond, AnswerRate: 2 << 20, Slowdown: 250, Concurrency: 4},
		Body:    io.NopCloser(body),
	}
}

// observedBody closes a channel when the peer has read the answer.
type observedBody struct {
	io.ReadCloser
	delivered chan struct{}
}

func (b *observedBody) Delivered() { close(b.delivered) }

func randomBytes(n int) []byte {
	data := make([]byte, n)
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(data)
	return data
}

var _ = Describe("an exchange", func() {
	It("counts the time on the way against the deadline", func() {
		var remaining []time.Duration
		server := exchange.NewServer(runnerFunc(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			remaining = append(remaining, r.Remaining(time.Now()))
			return newAnswer(http.NoBody, 0), nil
		}), func() config.Version { return config.Version{} }, telemetry.Silent())
		late := time.Duration(0)
		client, address := newClientAndServer(nil, func(head *wire.RequestHead, stream *link.Stream) {
			head.SentMicros -= late.Microseconds()
			server.Serve(context.Background(), head, stream)
		})
		for _, late = range []time.Duration{0, 7 * time.Second, 2 * time.Minute} {
			answer, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
			if err == nil {
				Expect(answer.Body.Close()).To(Succeed())
			}
		}
		Expect(remaining[0]).To(BeNumerically("~", time.Minute, 10*time.Second))
		Expect(remaining[1]).To(BeNumerically("~", 53*time.Second, 10*time.Second))
		Expect(remaining[2]).To(BeNumerically("<", 0))
	})

	It("transfers a large body unchanged in both directions", func() {
		data := randomBytes(5<<20 + 17)
		client, address := newClientAndServer(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			defer GinkgoRecover()
			got, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Header).To(Equal(http.Header{"A": {"b", "c"}}))
			Expect(r.FencedHosts).To(Equal([]host.ID{"h1"}))
			Expect([]uint64{r.HostListEra, r.HostListRevision}).To(Equal([]uint64{3, 8}))
			Expect(r.KeyTime.UnixMilli()).To(Equal(int64(1234)))
			Expect(r.Priority).To(Equal(config.PriorityHigh))
			return newAnswer(bytes.NewReader(got), -1), nil
		}, nil)
		answer, err := client.Do(context.Background(), address, newRequest(bytes.NewReader(data), int64(len(data))))
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		Expect(sha256.Sum256(got)).To(Equal(sha256.Sum256(data)))
		Expect(answer.Trailer()).To(Equal(http.Header{"T": {"v"}}))
		Expect(answer.Load).To(Equal(contract.Load{Running: 3, Limit: 9, State: host.StateWarm, AnswerQueueDelay: 70 * time.Millisecond, AnswerRate: 2 << 20, Slowdown: 250, Concurrency: 4}))
	})

	It("transfers the announced trailers of a request", func() {
		client, address := newClientAndServer(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			defer GinkgoRecover()
			Expect(r.Trailer).To(HaveKey("Digest"))
			_, err := io.Copy(io.Discard, r.Body)
			Expect(err).NotTo(HaveOccurred())
			return newAnswer(bytes.NewBufferString(r.Trailer.Get("Digest")), -1), nil
		}, nil)
		r := newRequest(bytes.NewBufferString("abc"), -1)
		r.Trailer = http.Header{"Digest": {"d1"}}
		answer, err := client.Do(context.Background(), address, r)
		Expect(err).NotTo(HaveOccurred())
		got, _ := io.ReadAll(answer.Body)
		Expect(string(got)).To(Equal("d1"))
		_ = answer.Body.Close()
	})

	It("transfers the admission flags of a request and the time it spent at the gate", func() {
		const runTime = 20 * time.Millisecond
		refuse := false
		client, address := newClientAndServer(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			defer GinkgoRecover()
			Expect([]bool{r.AllowDelay, r.HasPriorWork, r.Hedge, r.Nested}).To(Equal([]bool{true, false, true, true}))
			time.Sleep(runTime)
			if refuse {
				return nil, verdict.Refuse(verdict.ReasonOverloaded, time.Second)
			}
			return newAnswer(http.NoBody, 0), nil
		}, nil)
		r := newRequest(http.NoBody, 0)
		r.AllowDelay, r.Hedge, r.Nested = true, true, true
		answer, err := client.Do(context.Background(), address, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GateTime).To(BeNumerically(">=", runTime))
		Expect(answer.Body.Close()).To(Succeed())
		refuse = true
		answer, err = client.Do(context.Background(), address, r)
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonOverloaded))
		Expect(answer.GateTime).To(BeNumerically(">=", runTime))
	})

	It("delivers a refusal with its verdict before a large body is sent", func() {
		client, address := newClientAndServer(func(context.Context, *contract.Request) (*contract.Answer, error) {
			e := verdict.Refuse(verdict.ReasonLeaving, 7*time.Second)
			e.Fenced = true
			e.HostListRevision, e.HostListEra = 12, 3
			return nil, e
		}, nil)
		_, err := client.Do(context.Background(), address, newRequest(bytes.NewReader(randomBytes(4<<20)), 4<<20))
		e := verdict.FromError(err)
		Expect(*e).To(Equal(verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.ReasonLeaving, RetryAfter: 7 * time.Second, Fenced: true, HostListRevision: 12, HostListEra: 3,
		}))
	})

	// Guards against two writers of one stream: a goroutine that asks for a held body while
	// the request ends. The race detector reports them.
	// Guards against paying for the body of a request that a gate of another data centre refuses.
	It("sends no body to another data centre for a request that its gate refuses", func() {
		client, address := newClientAndServer(func(context.Context, *contract.Request) (*contract.Answer, error) {
			return nil, verdict.Refuse(verdict.ReasonOverloaded, time.Second)
		}, nil)
		var usages []transfer.Usage
		client.ObserveTransfers(func(_ *contract.Request, u transfer.Usage) { usages = append(usages, u) })
		body := randomBytes(4 << 10)
		for _, crosses := range []bool{false, true} {
			r := newRequest(bytes.NewReader(body), int64(len(body)))
			r.CrossesDataCentres, r.AllowDelay = crosses, true
			_, err := client.Do(context.Background(), address, r)
			Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonOverloaded))
		}
		Expect(usages).To(HaveLen(2))
		Expect(usages[0].Body).To(BeEquivalentTo(len(body)))
		Expect(usages[1].Body).To(BeZero())
	})

	It("does not ask for a held body while the answer is sent", func() {
		const size = 64 << 10
		var reads sync.WaitGroup
		client, address := newClientAndServer(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			body := r.Body
			reads.Go(func() { _, _ = io.Copy(io.Discard, body) }) // it ends with the request
			return nil, verdict.Refuse(verdict.ReasonOverloaded, time.Second)
		}, nil)
		for range 200 {
			_, err := client.Do(context.Background(), address, newRequest(bytes.NewReader(make([]byte, size)), size))
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		}
		reads.Wait()
	})

	DescribeTable("returns ErrTruncated when",
		func(length int64, bodyEnd func() error) {
			client, address := newClientAndServer(func(context.Context, *contract.Request) (*contract.Answer, error) {
				body := io.MultiReader(bytes.NewReader(randomBytes(100)), readerFunc(bodyEnd))
				return newAnswer(body, length), nil
			}, nil)
			answer, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = answer.Body.Close() }()
			_, err = io.ReadAll(answer.Body)
			Expect(err).To(MatchError(exchange.ErrTruncated))
		},
		Entry("the server fails while it sends the body", int64(-1), func() error { return io.ErrUnexpectedEOF }),
		Entry("the body is shorter than stated", int64(200), func() error { return io.EOF }),
		Entry("the body is longer than stated", int64(50), func() error { return io.EOF }),
	)

	It("returns ErrTruncated to the gate when the caller's upload is truncated", func() {
		bodyErr := make(chan error, 1)
		client, address := newClientAndServer(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			_, err := io.ReadAll(r.Body)
			bodyErr <- err
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, err)
		}, nil)
		body := io.MultiReader(bytes.NewReader(randomBytes(100)), readerFunc(func() error { return io.ErrUnexpectedEOF }))
		_, err := client.Do(context.Background(), address, newRequest(body, 1000))
		Expect(err).To(HaveOccurred())
		Eventually(bodyErr, "20s").Should(Receive(MatchError(exchange.ErrTruncated)))
	})

	It("rejects an answer with the id of another request", func() {
		client, address := newClientAndServer(nil, func(_ *wire.RequestHead, stream *link.Stream) {
			_ = stream.Send(&wire.AnswerHead{Id: "another", Status: 200})
			_ = stream.Flush()
		})
		_, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
		Expect(err).To(MatchError(exchange.ErrIDMismatch))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("tells the body of an answer when the caller has read it", func() {
		delivered := make(chan struct{})
		client, address := newClientAndServer(func(context.Context, *contract.Request) (*contract.Answer, error) {
			answer := newAnswer(strings.NewReader("archive"), 7)
			answer.Body = &observedBody{ReadCloser: answer.Body, delivered: delivered}
			return answer, nil
		}, nil)
		answer, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Consistently(delivered, "50ms").ShouldNot(BeClosed())
		Expect(answer.Body.Close()).To(Succeed())
		Eventually(delivered).Should(BeClosed())
	})

	It("returns MayHaveRun when the stream closes after the request was sent", func() {
		client, address := newClientAndServer(nil, func(*wire.RequestHead, *link.Stream) {})
		_, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonConnectionLost))
	})

	It("cancels the run when the caller disconnects before the answer", func() {
		running, ended := make(chan struct{}), make(chan error, 1)
		client, address := newClientAndServer(func(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(running)
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, ctx.Err())
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-running
			cancel()
		}()
		_, err := client.Do(ctx, address, newRequest(bytes.NewReader(randomBytes(10)), 10))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonCanceled))
		Eventually(ended, "20s").Should(Receive(MatchError(context.Canceled)))
	})

	It("cancels the run when the caller disconnects during the answer", func() {
		ended := make(chan struct{})
		client, address := newClientAndServer(func(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
			_, _ = io.Copy(io.Discard, r.Body)
			endless := readerFunc(func() error { return nil })
			context.AfterFunc(ctx, func() { close(ended) })
			return newAnswer(endless, -1), nil
		}, nil)
		answer, err := client.Do(context.Background(), address, newRequest(http.NoBody, 0))
		Expect(err).NotTo(HaveOccurred())
		_, _ = answer.Body.Read(make([]byte, 10))
		_ = answer.Body.Close()
		Eventually(ended, "20s").Should(BeClosed())
	})

	It("returns NotRun when no link could be opened", func() {
		client, _ := newClientAndServer(nil, nil)
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := closed.Addr().String()
		Expect(closed.Close()).To(Succeed())
		_, err = client.Do(context.Background(), address, newRequest(http.NoBody, 0))
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		Expect(errors.Is(err, link.ErrUnreachable)).To(BeTrue())
	})
})

// readerFunc fills reads while the function returns nil, and fails with its error
// otherwise.
type readerFunc func() error

func (f readerFunc) Read(p []byte) (int, error) {
	if err := f(); err != nil {
		return 0, err
	}
	return len(p), nil
}
