package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/mesh"
)

// newChoiceServer returns an explainer over three servers, of which one stated that it
// leaves, with a route that is split evenly between two services.
func newChoiceServer(t *testing.T) (*dispatcherFixture, *choiceExplainer) {
	w := newDispatcherFixture(t, 3)
	w.dispatcher.markLeaving(w.dispatcher.view().Servers["10.0.0.4"].Server)
	view, config := *w.dispatcher.view(), *w.dispatcher.view().Config
	config.Routes = []mesh.Route{{
		Name: "order", Host: "shop.example", Prefix: "/orders/", Timeout: time.Second, Objective: 600 * time.Millisecond, MaxAttempts: 2,
		Destinations: []mesh.Destination{{Service: "orders", Weight: 1}, {Service: "other", Weight: 1}},
	}}
	view.Config, view.Routes = &config, mesh.NewRouteTable(&config)
	w.dispatcher.view, w.dispatcher.dataCentre = func() *catalog.View { return &view }, "north"
	entry := newKeyWorld().entry
	entry.View, entry.Dispatcher, entry.Refusing = w.dispatcher.view, w.dispatcher, &atomic.Bool{}
	return w, &choiceExplainer{entry: entry, host: "dc0-1", storeAge: func(time.Time) time.Duration { return 40 * time.Millisecond }}
}

func (x *choiceExplainer) get(g *WithT, query string) (int, *ChoiceExplanation) {
	recorder := httptest.NewRecorder()
	x.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, ChoicePath+"?"+query, http.NoBody))
	e := &ChoiceExplanation{}
	if recorder.Code == http.StatusOK {
		g.Expect(json.Unmarshal(recorder.Body.Bytes(), e)).To(Succeed())
	}
	return recorder.Code, e
}

// Guards against an explanation that differs from what a request meets: the split, the
// gates that refuse an immediate start, and servers that are no candidates. Asking must not
// count as a request.
func TestChoiceEndpointExplainsWithoutSending(t *testing.T) {
	w, x := newChoiceServer(t)
	now := time.Now()
	w.dispatcher.balancer.Finish("10.0.0.2", &contract.Load{Running: 9, Queued: 5, Limit: 9, State: host.StateWarm, ServiceTime: 100 * time.Millisecond}, 0, now)
	w.dispatcher.balancer.Finish("10.0.0.3", &contract.Load{Running: 1, Limit: 9, State: host.StateWarm, ServiceTime: 100 * time.Millisecond}, 0, now)
	route, _ := w.dispatcher.view().Routes.Match("shop.example", "/orders/7")
	for range 6 {
		next, known := x.entry.Splitter.peek(route)
		_, e := x.get(w.WithT, "host=shop.example&path=/orders/7?x=1")
		w.Expect(e.Route.Split).To(HaveLen(2))
		w.Expect(e.Service).To(Equal(next))
		picked := x.entry.Splitter.pick(route)
		if known {
			w.Expect(picked).To(Equal(next))
		}
	}
	status, e := x.get(w.WithT, "host=shop.example&path=/orders/7&service=orders&deadline-ms=500&body=1000")
	w.Expect(status).To(Equal(http.StatusOK))
	w.Expect(e.ObjectiveMs).To(Equal(500.0))
	w.Expect(e.Choice).To(Equal(mesh.ServerID("10.0.0.3")))
	w.Expect(e.Candidates).To(HaveLen(2))
	w.Expect(e.Others).To(HaveLen(1))
	w.Expect(e.Others[0].Reasons).To(Equal([]string{"leaving"}))
	w.Expect(w.peers.sendCount()).To(BeZero())

	for _, id := range []mesh.ServerID{"10.0.0.2", "10.0.0.3"} {
		w.dispatcher.balancer.MarkFull(id, "order", time.Now().Add(time.Minute), time.Now())
	}
	_, e = x.get(w.WithT, "host=shop.example&path=/orders/7&service=orders")
	w.Expect(e.Queued).To(BeTrue())
	w.Expect(e.Choice).To(Equal(mesh.ServerID("10.0.0.3")))
	for _, id := range []mesh.ServerID{"10.0.0.2", "10.0.0.3"} {
		w.dispatcher.balancer.MarkFull(id, "order settling", time.Now().Add(time.Minute), time.Now())
	}
	_, e = x.get(w.WithT, "host=shop.example&path=/orders/7&service=orders")
	w.Expect(e.Refusal.Reason).To(Equal("overloaded"))
	w.Expect(e.Candidates[0].Exclusions[0].Reason).To(Equal("full"))

	_, e = x.get(w.WithT, "host=unknown.example&path=/")
	w.Expect(e.Refusal.Reason).To(Equal("no-route"))
	status, _ = x.get(w.WithT, "host=shop.example&path=/&body=many")
	w.Expect(status).To(Equal(http.StatusBadRequest))
}
