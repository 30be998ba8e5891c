package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"boragefall/internal/contract"
	"boragefall/internal/dispatch"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/ownership"
	"boragefall/internal/retry"
	"boragefall/internal/routing"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fakeGates replaces the gates of all hosts; each returns its results in order.
type fakeGates struct {
	results   map[string][]error // by address, in order; nil stands for an answer
	addresses []string
	sent      []contract.Request
}

func (g *fakeGates) Do(_ context.Context, address string, r *contract.Request) (*contract.Answer, error) {
	g.addresses = append(g.addresses, address)
	g.sent = append(g.sent, *r)
	if next := g.results[address]; len(next) > 0 {
		g.results[address] = next[1:]
		if next[0] != nil {
			return nil, next[0]
		}
	}
	return &contract.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(nil)), Trailer: func() http.Header { return nil }}, nil
}

func (g *fakeGates) Run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	return g.Do(ctx, "h0", r)
}

// body can be opened any number of times when whole, and otherwise once.
type body struct{ whole, opened bool }

func (b *body) Open() (io.Reader, bool) {
	if b.opened && !b.whole {
		return nil, false
	}
	b.opened = true
	return bytes.NewReader(nil), true
}

func (b *body) CanOpen() bool { return b.whole || !b.opened }

// contactRecorder records the hosts that were reported as failed.
type contactRecorder struct{ failed []host.ID }

func (*contactRecorder) ObserveContact(host.ID, time.Time)        {}
func (c *contactRecorder) ObserveFailure(id host.ID, _ time.Time) { c.failed = append(c.failed, id) }

var ids = []host.ID{"h0", "h1", "h2", "h3"}

type fixture struct {
	gates      *fakeGates
	contacts   *contactRecorder
	list       *host.List
	book       *routing.StatsRegistry
	dispatcher *dispatch.Dispatcher
}

func newFixture() *fixture {
	w := &fixture{gates: &fakeGates{results: map[string][]error{}}, contacts: &contactRecorder{}, list: &host.List{Revision: 5}, book: routing.NewStatsRegistry()}
	var servers []routing.Server
	for _, id := range ids {
		w.list.Hosts = append(w.list.Hosts, host.Listing{ID: id, Address: string(id), Service: "s"})
		servers = append(servers, routing.Server{Host: id, Address: string(id), State: host.StateWarm, Capacity: 4})
	}
	directory := routing.NewDirectory(routing.DirectoryConfig{Host: "h0"}, w.book)
	directory.Update([]routing.ServiceServers{{Service: "s", Servers: servers}})
	w.dispatcher = dispatch.New(dispatch.Config{
		Self: "h0", Local: w.gates, Remote: w.gates, Directory: directory, Policy: retry.NewPolicy(retry.Config{}),
		HostList: func() *host.List { return w.list }, Contacts: w.contacts,
		Tracer: noop.NewTracerProvider().Tracer(""), Meter: telemetry.NewMetrics("h0"),
	})
	return w
}

func (w *fixture) allFail(err error) {
	for _, id := range ids {
		w.gates.results[string(id)] = []error{err, err, err}
	}
}

// send sends a request, checks that none stays outstanding and returns the error.
func (w *fixture) send(r *contract.Request, b *body) *verdict.Error {
	r.Service, r.Deadline = "s", time.Now().Add(time.Minute)
	answer, err := w.dispatcher.Do(context.Background(), r, b, 2)
	if err == nil {
		Expect(answer.Body.Close()).To(Succeed())
	}
	for _, id := range ids {
		Expect(w.book.Stats(id).Outstanding()).To(BeZero())
	}
	return verdict.FromError(err)
}

var _ = Describe("a dispatcher", func() {
	var w *fixture
	BeforeEach(func() { w = newFixture() })
	connectionLost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil)
	leaving := verdict.Refuse(verdict.ReasonLeaving, time.Second)
	unreachable := verdict.New(verdict.NotRun, verdict.ReasonUnreachable, link.ErrUnreachable)

	DescribeTable("tries another server only as the verdict permits",
		func(idempotent, whole bool, failure error, attempts int, want verdict.Verdict) {
			w.allFail(failure)
			e := w.send(&contract.Request{Idempotent: idempotent, Key: "k", KeyMinted: true}, &body{whole: whole})
			Expect(w.gates.addresses).To(HaveLen(attempts))
			Expect(slices.Compact(slices.Sorted(slices.Values(w.gates.addresses)))).To(HaveLen(attempts), "each attempt must go to another server")
			Expect(e.Verdict).To(Equal(want))
			Expect(e.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("idempotent, may have run", true, true, connectionLost, 3, verdict.MayHaveRun),
		Entry("not idempotent, may have run", false, true, connectionLost, 1, verdict.MayHaveRun),
		Entry("not idempotent, did not run", false, true, leaving, 4, verdict.NotRun),
		Entry("streamed, did not run", false, false, leaving, 1, verdict.NotRun),
		Entry("idempotent, streamed", true, false, connectionLost, 1, verdict.MayHaveRun),
		Entry("no link to the host", false, true, unreachable, 4, verdict.NotRun),
	)

	It("does not retry a request that an earlier hop retries", func() {
		w.allFail(connectionLost)
		Expect(w.send(&contract.Request{Idempotent: true, Attempt: 1}, &body{whole: true}).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(w.gates.addresses).To(HaveLen(1))
	})

	It("records unreachable hosts and sends the crash count to the next gate", func() {
		w.allFail(unreachable)
		_ = w.send(&contract.Request{Idempotent: true}, &body{whole: true})
		Expect(w.contacts.failed).To(HaveLen(3), "a host must not report itself as failed")
		w = newFixture()
		w.allFail(connectionLost)
		_ = w.send(&contract.Request{Idempotent: true}, &body{whole: true})
		Expect([]int{w.gates.sent[0].Crashes, w.gates.sent[1].Crashes, w.gates.sent[2].Crashes}).To(Equal([]int{0, 1, 2}))
	})

	Context("with a caller's key", func() {
		rankedHosts := ownership.Rank("k", ids)
		sendKeyed := func() *verdict.Error { return w.send(&contract.Request{Key: "k"}, &body{whole: true}) }
		setResults := func(rank int, errs ...error) { w.gates.results[string(rankedHosts[rank])] = errs }

		It("sends to the first ranked host, and to the next one only after a fence", func() {
			fenced := verdict.Refuse(verdict.ReasonLeaving, time.Second)
			fenced.Fenced = true
			setResults(0, fenced)
			Expect(sendKeyed()).To(BeNil())
			Expect(w.gates.addresses).To(Equal([]string{string(rankedHosts[0]), string(rankedHosts[1])}))
			Expect(w.gates.sent[1].FencedHosts).To(Equal([]host.ID{rankedHosts[0]}))
			Expect(w.gates.sent[1].HostListRevision).To(Equal(uint64(5)))
		})

		DescribeTable("sends only to the first ranked host",
			func(failure *verdict.Error, attempts int, want verdict.Verdict) {
				setResults(0, failure, failure, failure)
				Expect(sendKeyed().Verdict).To(Equal(want))
				Expect(w.gates.addresses).To(HaveLen(attempts))
				Expect(slices.Compact(w.gates.addresses)).To(HaveLen(1))
			},
			Entry("unreachable: an earlier send may have run there", unreachable, 2, verdict.MayHaveRun),
			Entry("connection lost", connectionLost, 2, verdict.MayHaveRun),
			Entry("refused without a fence", verdict.Refuse(verdict.ReasonOverloaded, time.Second), 1, verdict.NotRun),
			Entry("unknown key", verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownKey, nil), 1, verdict.MayHaveRun),
		)

		It("waits for the newer host list that a gate reports and ranks by it", func() {
			newerList := verdict.New(verdict.MayHaveRun, verdict.ReasonNotOwner, nil)
			newerList.HostListRevision = 6
			setResults(0, newerList)
			next := &host.List{Revision: 6}
			for _, l := range w.list.Hosts {
				if l.ID != rankedHosts[0] {
					next.Hosts = append(next.Hosts, l)
				}
			}
			time.AfterFunc(50*time.Millisecond, func() { listUpdates <- next })
			old := w.list
			w.dispatcher = w.newDispatcher(func() *host.List {
				select {
				case old = <-listUpdates:
				default:
				}
				return old
			})
			Expect(sendKeyed()).To(BeNil())
			Expect(w.gates.addresses).To(Equal([]string{string(rankedHosts[0]), string(rankedHosts[1])}))
		})

		It("returns may-have-run when no host is listed, since a removed host may have run the key", func() {
			w.list = &host.List{Revision: 9}
			Expect(sendKeyed().Verdict).To(Equal(verdict.MayHaveRun))
		})
	})
})

var listUpdates = make(chan *host.List, 1)

// newDispatcher returns a dispatcher for the same gates with another host list.
func (w *fixture) newDispatcher(list func() *host.List) *dispatch.Dispatcher {
	directory := routing.NewDirectory(routing.DirectoryConfig{Host: "h0"}, w.book)
	var servers []routing.Server
	for _, id := range ids {
		servers = append(servers, routing.Server{Host: id, Address: string(id), State: host.StateWarm, Capacity: 4})
	}
	directory.Update([]routing.ServiceServers{{Service: "s", Servers: servers}})
	return dispatch.New(dispatch.Config{
		Self: "h0", Local: w.gates, Remote: w.gates, Directory: directory, Policy: retry.NewPolicy(retry.Config{}),
		HostList: list, Contacts: w.contacts, Tracer: noop.NewTracerProvider().Tracer(""), Meter: telemetry.NewMetrics("h0"),
	})
}
