package lasthop_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"boragefall/internal/backend"
	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/lasthop"
	"boragefall/internal/ledger"
	"boragefall/internal/ownership"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

func TestLastHop(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lasthop")
}

// fakeOwner returns scripted results to a Hop.
type fakeOwner struct {
	answers  []*verdict.Error // results of MayRun in order; the last one repeats
	calls    atomic.Int64
	lastRank bool
}

func (o *fakeOwner) MayRun(ownership.Claim, time.Time) *verdict.Error {
	n := int(o.calls.Add(1)) - 1
	if len(o.answers) == 0 {
		return nil
	}
	return o.answers[min(n, len(o.answers)-1)]
}

func (o *fakeOwner) Refusal(_ ownership.Claim, refusal *verdict.Error, _ time.Time) *verdict.Error {
	return refusal
}

func (o *fakeOwner) LastRank(ownership.Claim) bool { return o.lastRank }

type fixture struct {
	hop     *lasthop.Hop
	gate    *gate.Gate
	owner   *fakeOwner
	runs    atomic.Int64
	handler atomic.Pointer[http.HandlerFunc]
}

const configuration = `{"services":{"orders":{"slots":4,"connections":10,"coldLimit":4}},
	"routes":{"order":{"match":{"path":"/o"},"service":"orders"}}}`

func newFixture() *fixture {
	w := &fixture{owner: &fakeOwner{}}
	w.setHandler(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(rw, "ran %s", body)
	})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.runs.Add(1)
		(*w.handler.Load())(rw, r)
	}))
	DeferCleanup(server.Close)
	snapshot, report := config.Build(1, []config.File{{Name: "a.json", Data: []byte(configuration)}})
	Expect(report.OK()).To(BeTrue(), report.Error())
	w.gate = gate.New(gate.Config{Service: snapshot.Document.Services["orders"]}, nil)
	w.hop = lasthop.New(lasthop.Config{
		Host: "h1", Service: "orders", Snapshot: func() *config.Snapshot { return snapshot },
		Gate: w.gate, Ledger: ledger.New(ledger.Config{}, time.Now().Add(-time.Hour)), Owner: w.owner,
		Backend: backend.NewClient(backend.Config{Address: strings.TrimPrefix(server.URL, "http://")}),
		Tracer:  noop.NewTracerProvider().Tracer(""), Logger: telemetry.Silent(),
	})
	return w
}

func (w *fixture) setHandler(f http.HandlerFunc) { w.handler.Store(&f) }

func keyedRequest(key, body string) *contract.Request {
	return &contract.Request{
		ID: "r", Method: "POST", URI: "/o", Route: "order", Service: "orders", Header: http.Header{},
		Key: key, KeyTime: time.Now(), BodyDigest: []byte(body), Deadline: time.Now().Add(time.Minute),
		Body: strings.NewReader(body), ContentLength: int64(len(body)), FencedHosts: []host.ID{"h0"},
	}
}

func readBody(a *contract.Answer, err error) string {
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("a hop", func() {
	var w *fixture
	ctx := context.Background()
	BeforeEach(func() { w = newFixture() })

	It("runs a key once and replays its answer", func() {
		Expect(readBody(w.hop.Run(ctx, keyedRequest("k", "a")))).To(Equal("ran a"))
		Expect(readBody(w.hop.Run(ctx, keyedRequest("k", "a")))).To(Equal("ran a"))
		_, err := w.hop.Run(ctx, keyedRequest("k", "b"))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonKeyConflict))
		Expect(w.runs.Load()).To(Equal(int64(1)))
	})

	It("joins a running key, which keeps running when its caller disconnects", func() {
		release, running := make(chan struct{}), make(chan struct{})
		w.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
			close(running)
			<-release
			_, _ = io.WriteString(rw, "late")
		})
		callerCtx, cancel := context.WithCancel(ctx)
		var callerDone sync.WaitGroup
		callerDone.Go(func() {
			defer GinkgoRecover()
			_, err := w.hop.Run(callerCtx, keyedRequest("k", "a"))
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
		})
		<-running
		cancel()
		callerDone.Wait()
		joined := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			joined <- readBody(w.hop.Run(ctx, keyedRequest("k", "a")))
		}()
		close(release)
		Eventually(joined, "20s").Should(Receive(Equal("late")))
		Expect(w.runs.Load()).To(Equal(int64(1)))
	})

	It("never runs a key again after its server crashed during the run", func() {
		w.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		for range 3 {
			_, err := w.hop.Run(ctx, keyedRequest("k", "a"))
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
		}
		Expect(w.runs.Load()).To(Equal(int64(1)))
	})

	It("fences a key that it refuses unless its host is the last ranked one", func() {
		w.gate.SetLeaving(true)
		_, err := w.hop.Run(ctx, keyedRequest("k", "a"))
		Expect([]any{verdict.FromError(err).Verdict, verdict.FromError(err).Fenced}).To(Equal([]any{verdict.NotRun, true}))
		w.owner.lastRank = true
		_, err = w.hop.Run(ctx, keyedRequest("k2", "a"))
		Expect([]any{verdict.FromError(err).Verdict, verdict.FromError(err).Fenced}).To(Equal([]any{verdict.NotRun, false}))
		w.gate.SetLeaving(false)
		_, err = w.hop.Run(ctx, keyedRequest("k", "a"))
		Expect(verdict.FromError(err).Fenced).To(BeTrue(), "the fence must hold after the gate admits requests again")
		Expect(readBody(w.hop.Run(ctx, keyedRequest("k2", "a")))).To(Equal("ran a"))
		Expect(w.runs.Load()).To(Equal(int64(1)))
	})

	It("checks the ownership again just before the run", func() {
		w.owner.answers = []*verdict.Error{nil, verdict.New(verdict.MayHaveRun, verdict.ReasonNoLease, nil)}
		_, err := w.hop.Run(ctx, keyedRequest("k", "a"))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonNoLease))
		Expect(w.runs.Load()).To(BeZero())
		Expect(w.gate.Load().Running).To(BeZero(), "the slot must be free again")
	})

	It("answers from the ledger without a lease", func() {
		Expect(readBody(w.hop.Run(ctx, keyedRequest("k", "a")))).To(Equal("ran a"))
		w.owner.answers = []*verdict.Error{verdict.New(verdict.MayHaveRun, verdict.ReasonNoLease, nil)}
		Expect(readBody(w.hop.Run(ctx, keyedRequest("k", "a")))).To(Equal("ran a"))
		_, err := w.hop.Run(ctx, keyedRequest("new", "a"))
		Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonNoLease))
	})

	It("returns may-have-run for a keyed request to a removed service", func() {
		r := keyedRequest("k", "a")
		r.Service = "gone"
		_, err := w.hop.Run(ctx, r)
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
		r.Key = ""
		_, err = w.hop.Run(ctx, r)
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	})

	DescribeTable("returns not-run only if the server's verdict header states it",
		func(serverVerdict string, idempotent bool, want *verdict.Verdict) {
			w.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(contract.HeaderVerdict, serverVerdict)
				rw.Header().Set("Retry-After", "3")
				rw.WriteHeader(503)
			})
			r := keyedRequest("", "a")
			r.Idempotent = idempotent
			answer, err := w.hop.Run(ctx, r)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Status).To(Equal(503))
				_ = answer.Body.Close()
				return
			}
			Expect(verdict.FromError(err).Verdict).To(Equal(*want))
			Expect(verdict.FromError(err).RetryAfter).To(Equal(3 * time.Second))
		},
		Entry("the server's header states not-run", "not-run", false, ptr(verdict.NotRun)),
		Entry("a 503 without a verdict for an idempotent request", "", true, ptr(verdict.MayHaveRun)),
		Entry("a 503 without a verdict for another request is its answer", "", false, nil),
	)

	// Guards against seconds that wrap: a server that wants no requests for years got them after
	// 0.3 s.
	DescribeTable("passes on a long Retry-After of the server as a long one",
		func(seconds string) {
			w.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(contract.HeaderVerdict, "not-run")
				rw.Header().Set("Retry-After", seconds)
				rw.WriteHeader(503)
			})
			_, err := w.hop.Run(ctx, keyedRequest("", "a"))
			Expect(verdict.FromError(err).RetryAfter).To(Equal(time.Hour))
		},
		Entry("that wraps to a short one", "18446744074"),
		Entry("the longest", "9223372036854775807"),
		Entry("beyond 64 bits", "99999999999999999999"),
	)

	It("returns a long answer completely and records only that the key ran", func() {
		long := strings.Repeat("x", 1<<20)
		w.setHandler(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, long) })
		Expect(readBody(w.hop.Run(ctx, keyedRequest("k", "a")))).To(HaveLen(1 << 20))
		_, err := w.hop.Run(ctx, keyedRequest("k", "a"))
		Expect([]any{verdict.FromError(err).Verdict, verdict.FromError(err).Reason}).To(Equal([]any{verdict.Ran, verdict.ReasonAnswerLost}))
	})

	It("frees the slot when the caller closes an answer early", func() {
		w.setHandler(func(rw http.ResponseWriter, _ *http.Request) {
			for range 1000 {
				if _, err := io.WriteString(rw, strings.Repeat("x", 1<<12)); err != nil {
					return
				}
			}
		})
		r := keyedRequest("", "a")
		answer, err := w.hop.Run(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.gate.Load().Running).To(Equal(1))
		Expect(answer.Body.Close()).To(Succeed())
		Expect(w.gate.Load().Running).To(BeZero())
	})
})

func ptr[T any](v T) *T { return &v }
