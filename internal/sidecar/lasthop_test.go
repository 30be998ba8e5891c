package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/admission"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/serverconn"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
	"boragefall/platform"
)

// slowBody is a body that arrives when a test permits it.
type slowBody struct {
	arrives   chan struct{}
	remaining int
	err       error
}

func (b *slowBody) Read(p []byte) (int, error) {
	<-b.arrives
	if b.err != nil {
		return 0, b.err
	}
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n := min(b.remaining, len(p))
	b.remaining -= n
	return n, nil
}

// newTestHop returns a LastHop whose server is the first of a view and has answered.
func newTestHop(t *testing.T, view *catalog.View) *LastHop {
	crashes, err := newCrashTracker(func(crashNotice) {}, telemetry.Silent())
	if err != nil {
		t.Fatal(err)
	}
	hop, err := NewLastHop(LastHopConfig{
		StaleCopy: func(time.Time) bool { return false }, OnFirstProbe: func() {}, Drain: &drainEnd{},
		ColdLimit: ColdStartLimit{Overshoot: 1.5},
		Address:   "10.0.0.2:8000", Service: "orders", View: func() *catalog.View { return view }, Crashes: crashes,
		Client: serverconn.NewClient(serverconn.NewPool(serverconn.Config{Address: "127.0.0.1:1"}), platform.Headers{}),
		Bodies: newBodyReceiver(27, 128), LinkMbps: 27, MarkLeaving: func(*mesh.Server) {}, Logger: telemetry.Silent(),
	})
	if err != nil {
		t.Fatal(err)
	}
	hop.gate.MarkUp(0)
	return hop
}

func requestTo(server string, body io.Reader, length int64) *contract.Request {
	now := time.Now()
	return &contract.Request{
		ID: "9c41", Service: "orders", Route: "upload", Server: server, Body: body, ContentLength: length,
		Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
	}
}

// Guards against slots held during the transfer of a body: bodies of 280 KB over a link
// of 27 Mbit/s held each server slot four times as long as the work took.
func TestRequestTakesNoSlotWhileItsBodyArrives(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	body := &slowBody{arrives: make(chan struct{}), remaining: 300_000}
	done := make(chan error)
	go func() {
		_, err := hop.Run(context.Background(), requestTo("10.0.0.2", body, 300_000))
		done <- err
	}()
	g.Eventually(func() time.Duration { return hop.Load().BodyQueueDelay }).Should(BeNumerically(">", 50*time.Millisecond))
	g.Expect(hop.Load().Running).To(BeZero())
	close(body.arrives)
	g.Expect(verdict.FromError(<-done).Reason).To(Equal(verdict.ReasonUnreachable)) // no server listens in this test
	g.Expect(hop.Load().BodyQueueDelay).To(BeZero())
	g.Expect(hop.bodies.buffered.Load()).To(BeZero())
}

// instantServer answers each request at once.
type instantServer struct{}

func (instantServer) Do(context.Context, serverconn.Request) (*serverconn.Answer, error) {
	return &serverconn.Answer{Answer: *answerWithStatus(http.StatusOK), Buffered: true}, nil
}

func (instantServer) CloseIdle()            {}
func (instantServer) SetMaxConnections(int) {}

// A body received over a narrow link would have to be sent again to any other gate, so
// its request may wait longer than other requests for an immediate start.
func TestRequestWithReceivedBodyWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hop := newTestHop(t, newTestView(1))
		hop.client = instantServer{}
		now := time.Now()
		other := admission.Request{Class: "upload", Deadline: now.Add(time.Hour), Objective: now.Add(time.Hour)}
		const work = 50 * time.Millisecond
		for range 2 { // the first sets the expected service time, the second occupies the slot
			permit, err := hop.gate.Admit(context.Background(), other)
			g.Expect(err).NotTo(HaveOccurred())
			time.AfterFunc(work, func() { permit.Done(false) })
		}
		body := &slowBody{arrives: make(chan struct{}), remaining: 300_000}
		close(body.arrives)
		r := requestTo("10.0.0.2", body, 300_000)
		r.Objective, r.Deadline = time.Now().Add(300*time.Millisecond), time.Now().Add(time.Second)
		_, err := hop.Run(context.Background(), r)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestRequestWithTruncatedBodyIsNotHandedOver(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	body := &slowBody{arrives: make(chan struct{}), err: errors.New("the entry canceled the request")}
	close(body.arrives)
	_, err := hop.Run(context.Background(), requestTo("10.0.0.2", body, 300_000))
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(hop.Fence("9c41")).To(BeFalse())
	g.Expect(hop.bodies.buffered.Load()).To(BeZero())
	g.Expect(hop.Load().BodyQueueDelay).To(BeZero())
}

func TestRequestToARemovedServerIsRefused(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	r := requestTo("unknown", nil, 0)
	r.HostListRevision = 1 // older than the view that lacks the server
	_, err := hop.Run(context.Background(), r)
	g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonLeaving))
}

func TestRequestToAServerNewerThanTheViewIsAccepted(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	r := requestTo("newer", nil, 0)
	r.HostListRevision = 1000
	g.Expect(hop.check(r)).To(BeNil())
}

// A revision of an older era is not newer than the view, however great it is.
func TestEraOfTheHostListDecidesWhoseViewIsNewer(t *testing.T) {
	g := NewWithT(t)
	replica := newTestCatalog(1)
	replica.Replace([]catalog.Item{{Key: "config", Version: catalog.Version{Era: 2, Revision: 3}}}, catalog.Version{Era: 2, Revision: 5}, time.Now())
	hop := newTestHop(t, replica.View())
	for _, listed := range []catalog.Version{{Revision: 1000}, {Era: 1, Revision: 1000}, {Era: 2, Revision: 5}} {
		r := requestTo("unknown", nil, 0)
		r.HostListEra, r.HostListRevision = listed.Era, listed.Revision
		g.Expect(hop.check(r)).NotTo(BeNil(), listed.String())
	}
	r := requestTo("newer", nil, 0)
	r.HostListEra, r.HostListRevision = 3, 1
	g.Expect(hop.check(r)).To(BeNil())
}

func TestRequestToAReplacedServerIsRefused(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	g.Expect(hop.check(requestTo("10.0.0.2", nil, 0))).To(BeNil())
	hop.recordResponder("another")
	g.Expect(hop.check(requestTo("10.0.0.2", nil, 0)).Reason).To(Equal(verdict.ReasonLacksResource))
	g.Expect(hop.recordResponder("10.0.0.2")).To(BeTrue())
	g.Expect(hop.check(requestTo("10.0.0.2", nil, 0))).To(BeNil())
}

func TestFencedRequestIsNeverHandedOver(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	g.Expect(hop.Fence("9c41")).To(BeFalse())
	_, err := hop.Run(context.Background(), requestTo("10.0.0.2", nil, 0))
	g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonFenced))
	g.Expect(hop.markHandedOver("7e1a")).To(BeTrue())
	g.Expect(hop.Fence("7e1a")).To(BeTrue())
}

func TestRequestForAnotherServiceIsRefused(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	r := requestTo("10.0.0.2", nil, 0)
	r.Service = "status"
	g.Expect(hop.check(r).Reason).To(Equal(verdict.ReasonLacksResource))
}

// A request that was on its way until its caller had left must not reach the server.
func TestRequestPastItsDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	r := requestTo("10.0.0.2", http.NoBody, 0)
	r.Deadline = time.Now().Add(-time.Millisecond)
	_, err := newTestHop(t, newTestView(1)).Run(context.Background(), r)
	refusal := verdict.FromError(err)
	g.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
	g.Expect(refusal.Reason).To(Equal(verdict.ReasonDeadline))
}

func TestStoppingNodeRefusesRequests(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	hop.SetStopping()
	_, err := hop.Run(context.Background(), requestTo("10.0.0.2", nil, 0))
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonLeaving))
}
