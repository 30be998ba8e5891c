package baseline

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/host"
)

// ErrNoServer reports that no server of a service is known.
var ErrNoServer = eris.New("no server")

// Slow start of a server that came back: its weight grows from the least to 1.
const (
	slowStart   = 10 * time.Second
	leastWeight = 0.1
)

// Router is an http.RoundTripper that sends each request straight to a random
// backend server of the host list. It knows no gate and no limit.
type Router struct {
	poller    *Poller
	addresses map[host.ID]string
	transport http.RoundTripper

	mu  sync.Mutex
	out map[host.ID]time.Time // when a server was last seen leaving or failing
}

// NewRouter returns a router over the servers' addresses.
func NewRouter(p *Poller, addresses map[host.ID]string, transport http.RoundTripper) *Router {
	return &Router{poller: p, addresses: addresses, transport: transport, out: map[host.ID]time.Time{}}
}

// RoundTrip sends a request, and once more to another server if that fails.
func (r *Router) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.send(request)
	failed := err != nil || response.StatusCode == http.StatusServiceUnavailable
	if !failed || request.Context().Err() != nil {
		return response, err
	}
	again := request.Clone(request.Context())
	if request.GetBody != nil {
		again.Body, _ = request.GetBody()
	}
	if response != nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return r.send(again)
}

func (r *Router) send(request *http.Request) (*http.Response, error) {
	id, ok := r.pick(request, time.Now())
	if !ok {
		return nil, ErrNoServer
	}
	sent := request.Clone(request.Context())
	sent.URL.Host = r.addresses[id]
	response, err := r.transport.RoundTrip(sent)
	r.note(id, err == nil, time.Now())
	return response, err
}

// note begins the slow start of a server that does not answer anew.
func (r *Router) note(id host.ID, up bool, now time.Time) {
	if up {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out[id] = now
}

// pick draws a server of the request's service by weight.
func (r *Router) pick(request *http.Request, now time.Time) (host.ID, bool) {
	s, list := r.poller.snapshot.Load(), r.poller.hosts.Load()
	if s == nil || list == nil {
		return "", false
	}
	service := serviceOf(s.Document, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	var total float64
	var chosen host.ID
	for _, h := range list.ForService(service) {
		w := r.weight(s.Document, h, now)
		total += w
		if w > 0 && rand.Float64()*total < w {
			chosen = h.ID
		}
	}
	return chosen, total > 0
}

// weight returns a server's share; the caller holds mu.
func (r *Router) weight(d *config.Document, h host.Listing, now time.Time) float64 {
	if h.Leaving || d.Hosts[h.ID].Leaving || d.DataCentres[h.Place.DataCentre].Leaving {
		r.out[h.ID] = now
		return 0
	}
	share := now.Sub(r.out[h.ID]).Seconds() / slowStart.Seconds()
	return min(1, max(leastWeight, share))
}

// serviceOf finds the service by the longest path that matches.
func serviceOf(d *config.Document, request *http.Request) string {
	service, longest := "", -1
	for _, route := range d.Routes {
		m := route.Match
		method := len(m.Methods) == 0 || slices.Contains(m.Methods, request.Method)
		path := m.Path == request.URL.Path || m.Path == "" && strings.HasPrefix(request.URL.Path, m.PathPrefix)
		length := len(m.Path) + len(m.PathPrefix)
		if method && path && length > longest {
			service, longest = route.Service, length
		}
	}
	return service
}

func (p *Poller) storeHosts(folder *configservice.Folder) error {
	list := &host.List{}
	if err := json.Unmarshal(folder.Files[0].Data, list); err != nil {
		return eris.Wrap(err, "host list")
	}
	list.Sort()
	p.hosts.Store(list)
	return nil
}
