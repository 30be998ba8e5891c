package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/verdict"

	"github.com/gin-gonic/gin"
)

// plainHeaders reads a caller's key from the header Key and names the workspace in the
// header Workspace.
type plainHeaders struct{}

func (plainHeaders) ReadCallerRequest(h http.Header) protocol.CallerRequest {
	return protocol.CallerRequest{ID: "1", Timeout: time.Second, Key: mesh.APIKey(h.Get("Key"))}
}

func (plainHeaders) SetWorkspace(h http.Header, workspace string) {
	h.Del("Key")
	h.Del("Workspace")
	if workspace != "" {
		h.Set("Workspace", workspace)
	}
}

func (plainHeaders) WriteRefusal(http.Header, string, *verdict.Error) int {
	return http.StatusServiceUnavailable
}

// keyWorld is an entry whose copy of the configuration has an age.
type keyWorld struct {
	entry *Entry
	age   time.Duration
	known bool
}

func newKeyWorld() *keyWorld {
	config := &mesh.Config{Routes: []mesh.Route{
		{Name: "order", Host: "mesh.example", Prefix: "/orders/", Timeout: time.Second, Priority: 1, Destinations: []mesh.Destination{{Service: "s"}}},
		{Name: "call", Host: "mesh.example", Prefix: "/calls/", Timeout: time.Second, Priority: 1, Public: true, Destinations: []mesh.Destination{{Service: "s"}}},
	}}
	config.Workspaces, _ = mesh.NewWorkspaceTable([]mesh.Workspace{{Name: "north", Keys: []mesh.APIKey{"k1"}}, {Name: "south", Keys: []mesh.APIKey{"k2"}}})
	view := &catalog.View{Config: config, Routes: mesh.NewRouteTable(config)}
	w := &keyWorld{known: true}
	w.entry = &Entry{
		Origin: "s", View: func() *catalog.View { return view }, Headers: plainHeaders{}, Splitter: newTrafficSplitter(),
		CopyAge: copyAge{
			proven:           func() (time.Duration, bool) { return w.age, w.known },
			propagationLimit: 2 * time.Second, revocationLimit: 5 * time.Second,
		},
	}
	return w
}

// match returns what the entry makes of a request with a key.
func (w *keyWorld) match(path, key string) (*callerRequest, *verdict.Error) {
	incoming := httptest.NewRequest(http.MethodGet, "http://mesh.example"+path, strings.NewReader(""))
	incoming.RequestURI = path
	incoming.Header = http.Header{"Workspace": {"forged"}, "Other": {"kept"}}
	if key != "" {
		incoming.Header.Set("Key", key)
	}
	x := &callerRequest{entry: w.entry, c: &gin.Context{Request: incoming}, started: time.Now(), request: &contract.Request{}}
	return x, x.matchRoute(w.entry.Headers.ReadCallerRequest(incoming.Header))
}

func TestServerSeesWorkspaceInsteadOfKey(t *testing.T) {
	g := NewWithT(t)
	w := newKeyWorld()
	x, refusal := w.match("/orders/1", "k1")
	g.Expect(refusal).To(BeNil())
	g.Expect(x.request.Header).To(Equal(http.Header{"Workspace": {"north"}, "Other": {"kept"}}))
	x, refusal = w.match("/calls/1", "k1")
	g.Expect(refusal).To(BeNil(), "a public route needs no key")
	g.Expect(x.request.Header).To(Equal(http.Header{"Other": {"kept"}}))
}

func TestWorkspacesShareNoFingerprint(t *testing.T) {
	g := NewWithT(t)
	w := newKeyWorld()
	fingerprints := map[uint64]bool{}
	for _, key := range []string{"k1", "k2"} {
		x, refusal := w.match("/orders/1", key)
		g.Expect(refusal).To(BeNil())
		fingerprints[requestFingerprint(x.request, x.workspace)] = true
	}
	g.Expect(fingerprints).To(HaveLen(2))
}

// A key that was removed must not be accepted later than the revocation limit, whatever
// happened to the node meanwhile; a key or route that was added must not be called
// unknown by a copy that may be older.
func TestRefusalsHoldForTheAgeOfTheCopy(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		age             time.Duration
		unproven        bool
		want            verdict.Reason
	}{
		{name: "known key", path: "/orders/1", key: "k1", want: verdict.ReasonUnspecified},
		{name: "known key, copy older than a change takes", path: "/orders/1", key: "k1", age: 3 * time.Second, want: verdict.ReasonUnspecified},
		{name: "known key, copy too old for revocations", path: "/orders/1", key: "k1", age: 5 * time.Second, want: verdict.ReasonStaleConfig},
		{name: "known key, age unknown", path: "/orders/1", key: "k1", unproven: true, want: verdict.ReasonStaleConfig},
		{name: "unknown key", path: "/orders/1", key: "k9", want: verdict.ReasonUnauthorized},
		{name: "no key", path: "/orders/1", want: verdict.ReasonUnauthorized},
		{name: "unknown key, old copy", path: "/orders/1", key: "k9", age: 3 * time.Second, want: verdict.ReasonStaleConfig},
		{name: "unknown route", path: "/none/1", key: "k1", want: verdict.ReasonNoRoute},
		{name: "unknown route, old copy", path: "/none/1", key: "k1", age: 3 * time.Second, want: verdict.ReasonStaleConfig},
		{name: "public route, old copy", path: "/calls/1", age: time.Hour, want: verdict.ReasonUnspecified},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newKeyWorld()
			w.age, w.known = c.age, !c.unproven
			_, refusal := w.match(c.path, c.key)
			if c.want == verdict.ReasonUnspecified {
				g.Expect(refusal).To(BeNil())
				return
			}
			g.Expect(refusal).NotTo(BeNil())
			g.Expect(refusal.Reason).To(Equal(c.want))
			g.Expect(refusal.Verdict).To(Equal(verdict.NotRun))
		})
	}
}

// BenchmarkMatchRoute is the cost of a key: route and workspace of a request, without and
// with one.
func BenchmarkMatchRoute(b *testing.B) {
	for name, key := range map[string]string{"public route": "", "key": "k1"} {
		b.Run(name, func(b *testing.B) {
			path := "/orders/1"
			if key == "" {
				path = "/calls/1"
			}
			w := newKeyWorld()
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := w.match(path, key); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
