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

// gates stands for the gates of all hosts: each answers from its script.
type gates struct {
	script map[string][]error // by address, in turn; nil is an answer
	asked  []string
	sent   []contract.Request
}

func (g *gates) Do(_ context.Context, address string, r *contract.Request) (*contract.Answer, error) {
	g.asked = append(g.asked, address)
	g.sent = append(g.sent, *r)
	if next := g.script[address]; len(next) > 0 {
		g.script[address] = next[1:]
		if next[0] != nil {
			return nil, next[0]
		}
	}
	return &contract.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(nil)), Trailer: func() http.Header { return nil }}, nil
}

func (g *gates) Run(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	return g.Do(ctx, "h0", r)
}

// body is whole, or streamed once.
type body struct{ whole, opened bool }

func (b *body) Open() (io.Reader, bool) {
	if b.opened && !b.whole {
		return nil, false
	}
	b.opened = true
	return bytes.NewReader(nil), true
}

func (b *body) Replayable() bool { return b.whole || !b.opened }

// contacts notes which hosts were found unreachable.
type contacts struct{ failed []host.ID }

func (*contacts) ObserveContact(host.ID, time.Time)        {}
func (c *contacts) ObserveFailure(id host.ID, _ time.Time) { c.failed = append(c.failed, id) }

var ids = []host.ID{"h0", "h1", "h2", "h3"}

type world struct {
	gates    *gates
	contacts *contacts
	list     *host.List
	book     *routing.Book
	d        *dispatch.Dispatcher
}

func newWorld() *world {
	w := &world{gates: &gates{script: map[string][]error{}}, contacts: &contacts{}, list: &host.List{Revision: 5}, book: routing.NewBook()}
	var servers []routing.Server
	for _, id := range ids {
		w.list.Hosts = append(w.list.Hosts, host.Listing{ID: id, Address: string(id), Service: "s"})
		servers = append(servers, routing.Server{Host: id, Address: string(id), State: host.StateWarm, Capacity: 4})
	}
	directory := routing.NewDirectory(routing.DirectoryConfig{Host: "h0"}, w.book)
	directory.Update([]routing.ServiceServers{{Service: "s", Servers: servers}})
	w.d = dispatch.New(dispatch.Config{
		Self: "h0", Local: w.gates, Remote: w.gates, Directory: directory, Policy: retry.NewPolicy(retry.Config{}),
		HostList: func() *host.List { return w.list }, Contacts: w.contacts,
		Tracer: noop.NewTracerProvider().Tracer(""), Meter: telemetry.NewMetrics("h0"),
	})
	return w
}

func (w *world) allFail(err error) {
	for _, id := range ids {
		w.gates.script[string(id)] = []error{err, err, err}
	}
}

// send sends a request and reports the error; nothing stays outstanding.
func (w *world) send(r *contract.Request, b *body) *verdict.Error {
	r.Service, r.Deadline = "s", time.Now().Add(time.Minute)
	answer, err := w.d.Do(context.Background(), r, b, 2)
	if err == nil {
		Expect(answer.Body.Close()).To(Succeed())
	}
	for _, id := range ids {
		Expect(w.book.Stats(id).Outstanding()).To(BeZero())
	}
	return verdict.Of(err)
}

var _ = Describe("a dispatcher", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil)
	leaving := verdict.Refuse(verdict.ReasonLeaving, time.Second)
	unreachable := verdict.New(verdict.NotRun, verdict.ReasonUnreachable, link.ErrUnreachable)

	DescribeTable("tries another server only as the verdict permits",
		func(idempotent, whole bool, failure error, attempts int, want verdict.Verdict) {
			w.allFail(failure)
			e := w.send(&contract.Request{Idempotent: idempotent, Key: "k", KeyMinted: true}, &body{whole: whole})
			Expect(w.gates.asked).To(HaveLen(attempts))
			Expect(slices.Compact(slices.Sorted(slices.Values(w.gates.asked)))).To(HaveLen(attempts), "each attempt at another server")
			Expect(e.Verdict).To(Equal(want))
			Expect(e.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("idempotent, may have run", true, true, lost, 3, verdict.MayHaveRun),
		Entry("not idempotent, may have run", false, true, lost, 1, verdict.MayHaveRun),
		Entry("not idempotent, did not run", false, true, leaving, 4, verdict.NotRun),
		Entry("streamed, did not run", false, false, leaving, 1, verdict.NotRun),
		Entry("idempotent, streamed", true, false, lost, 1, verdict.MayHaveRun),
		Entry("no link", false, true, unreachable, 4, verdict.NotRun),
	)

	It("does not retry what a hop before retries", func() {
		w.allFail(lost)
		Expect(w.send(&contract.Request{Idempotent: true, Attempt: 1}, &body{whole: true}).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(w.gates.asked).To(HaveLen(1))
	})

	It("notes unreachable hosts and tells the next gate of crashes", func() {
		w.allFail(unreachable)
		_ = w.send(&contract.Request{Idempotent: true}, &body{whole: true})
		Expect(w.contacts.failed).To(HaveLen(3), "a host does not suspect itself")
		w = newWorld()
		w.allFail(lost)
		_ = w.send(&contract.Request{Idempotent: true}, &body{whole: true})
		Expect([]int{w.gates.sent[0].Crashes, w.gates.sent[1].Crashes, w.gates.sent[2].Crashes}).To(Equal([]int{0, 1, 2}))
	})

	Context("with a caller's key", func() {
		ranks := ownership.Rank("k", ids)
		ask := func() *verdict.Error { return w.send(&contract.Request{Key: "k"}, &body{whole: true}) }
		script := func(rank int, errs ...error) { w.gates.script[string(ranks[rank])] = errs }

		It("asks the first rank, and the next one only after a fence", func() {
			fenced := verdict.Refuse(verdict.ReasonLeaving, time.Second)
			fenced.Fenced = true
			script(0, fenced)
			Expect(ask()).To(BeNil())
			Expect(w.gates.asked).To(Equal([]string{string(ranks[0]), string(ranks[1])}))
			Expect(w.gates.sent[1].Fences).To(Equal([]host.ID{ranks[0]}))
			Expect(w.gates.sent[1].HostListRevision).To(Equal(uint64(5)))
		})

		DescribeTable("stays at the first rank",
			func(failure *verdict.Error, asked int, want verdict.Verdict) {
				script(0, failure, failure, failure)
				Expect(ask().Verdict).To(Equal(want))
				Expect(w.gates.asked).To(HaveLen(asked))
				Expect(slices.Compact(w.gates.asked)).To(HaveLen(1))
			},
			Entry("unreachable: an earlier send may have run there", unreachable, 2, verdict.MayHaveRun),
			Entry("lost", lost, 2, verdict.MayHaveRun),
			Entry("refused without a fence", verdict.Refuse(verdict.ReasonOverloaded, time.Second), 1, verdict.NotRun),
			Entry("unknown key", verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownKey, nil), 1, verdict.MayHaveRun),
		)

		It("ranks again by the newer list of a gate, once it has it", func() {
			newer := verdict.New(verdict.MayHaveRun, verdict.ReasonNotOwner, nil)
			newer.HostListRevision = 6
			script(0, newer)
			next := &host.List{Revision: 6}
			for _, l := range w.list.Hosts {
				if l.ID != ranks[0] {
					next.Hosts = append(next.Hosts, l)
				}
			}
			time.AfterFunc(50*time.Millisecond, func() { lists <- next })
			old := w.list
			w.d = w.rebuilt(func() *host.List {
				select {
				case old = <-lists:
				default:
				}
				return old
			})
			Expect(ask()).To(BeNil())
			Expect(w.gates.asked).To(Equal([]string{string(ranks[0]), string(ranks[1])}))
		})

		It("says may-have-run when no host is left: one that left may have run it", func() {
			w.list = &host.List{Revision: 9}
			Expect(ask().Verdict).To(Equal(verdict.MayHaveRun))
		})
	})
})

var lists = make(chan *host.List, 1)

// rebuilt returns a dispatcher of the same world with another host list.
func (w *world) rebuilt(list func() *host.List) *dispatch.Dispatcher {
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
