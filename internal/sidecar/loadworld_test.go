package sidecar

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

// A loadSimulation runs callers against a small mesh in virtual time: real dispatchers,
// gates and balancers, with simulated servers and links.
type loadSimulation struct {
	catalog *catalog.Catalog
	random  *lockedRandom
	nodes   []*loadNode
	byPeer  map[string]*loadNode
	routes  map[string]loadRoute
	callers sync.WaitGroup

	mu      sync.Mutex
	lastID  int
	tallies map[string]*loadTally
	// arrived holds the IDs that reached a server or whose next arrival counts as a
	// retry; arrivalsByService holds the totals.
	arrived           map[string]bool
	arrivalsByService map[string]*loadArrivals
}

// loadRoute is a kind of request of a scenario.
type loadRoute struct {
	service    string
	perSecond  float64
	work       time.Duration
	objective  time.Duration
	deadline   time.Duration
	priority   int
	idempotent bool
	// calls is the number of lookups that a share of the requests makes on each run.
	calls     int
	callShare float64
	callRoute string
	// answerBytes is the mean size of the answers.
	answerBytes float64
}

// loadService is a group of servers of a scenario.
type loadService struct {
	name   string
	slots  int
	speeds []float64
	// linkMbps is the rate of each host's link; 0 means that nothing is sent over links.
	linkMbps float64
}

// loadTally counts the results of one route's callers.
type loadTally struct {
	sent, onTime, late int
	// refused counts the callers whose last attempt was refused, failed all other
	// failures.
	refused, failed int
}

func (t *loadTally) String() string {
	return fmt.Sprintf("sent %d on time %d late %d refused %d failed %d", t.sent, t.onTime, t.late, t.refused, t.failed)
}

// loadBudget is the retry budget that the platform permits.
var loadBudget = RetryBudget{Ratio: 0.2, Slack: 60}

// loadArrivals counts the requests that reached the servers of a service.
type loadArrivals struct {
	// requests counts the attempts of callers and the nested calls; retries counts the
	// arrivals beyond the first of each, and all nested calls of a run that was itself
	// a retry.
	requests, retries int
}

// linkLatency is the one-way latency between two hosts.
const linkLatency = time.Millisecond

type lockedRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRandom) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

// sampleDuration draws a time around a mean, with a share of long ones.
func (l *lockedRandom) sampleDuration(mean time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	const sigma, tail, tailFactor = 0.3, 0.01, 5
	x := math.Exp(sigma*l.r.NormFloat64() - sigma*sigma/2)
	if l.r.Float64() < tail {
		x *= tailFactor
	}
	return time.Duration(x * float64(mean))
}

func newLoadSimulation(seed uint64, services []loadService, routes map[string]loadRoute) *loadSimulation {
	w := &loadSimulation{
		random: &lockedRandom{r: rand.New(rand.NewPCG(seed, 1))},
		byPeer: map[string]*loadNode{}, routes: routes, tallies: map[string]*loadTally{},
		arrived: map[string]bool{}, arrivalsByService: map[string]*loadArrivals{},
	}
	config := &mesh.Config{Version: 1, Services: map[string]mesh.Service{}}
	var items []catalog.Item
	for s, service := range services {
		config.Services[service.name] = mesh.Service{Name: service.name, ColdRate: 16, HealthPath: "/health"}
		for i, speed := range service.speeds {
			id := fmt.Sprintf("10.0.%d.%d", s, i+2)
			items = append(items, catalog.Item{Key: id, Version: catalog.Version{Revision: uint64(len(items) + 1)}, Value: fmt.Appendf(nil, "%s %d", service.name, service.slots)})
			w.nodes = append(w.nodes, &loadNode{simulation: w, id: id, service: service.name, slots: service.slots, speed: speed, link: loadLink{mbps: service.linkMbps}})
		}
	}
	for name, r := range routes {
		config.Routes = append(config.Routes, mesh.Route{Name: name, Destinations: []mesh.Destination{{Service: r.service, Weight: 1}}})
	}
	w.catalog = catalog.New(loadDecoder{config}, telemetry.Silent())
	items = append(items, catalog.Item{Key: "config", Version: catalog.Version{Revision: 1000}})
	w.catalog.Apply(items, catalog.Version{Revision: 1000}, time.Now())
	for _, n := range w.nodes {
		n.start()
		w.byPeer[net.JoinHostPort(n.id, "9000")] = n
	}
	return w
}

// loadDecoder makes a server of each key, and the configuration of the key config.
type loadDecoder struct {
	config *mesh.Config
}

func (d loadDecoder) Decode(item catalog.Item) (catalog.Record, error) {
	if item.Key == "config" {
		return catalog.Record{Subject: catalog.SubjectConfig, Config: d.config}, nil
	}
	server := &mesh.Server{ID: mesh.ServerID(item.Key), Address: item.Key + ":8000", DataCentre: "north"}
	if _, err := fmt.Sscanf(string(item.Value), "%s %d", &server.Service, &server.Slots); err != nil {
		return catalog.Record{}, err
	}
	return catalog.Record{Subject: catalog.SubjectServer, ServerID: server.ID, Server: server}, nil
}

// Do passes a request to the node beside its server.
func (w *loadSimulation) Do(ctx context.Context, peer string, r *contract.Request) (*contract.Answer, error) {
	n := w.byPeer[peer]
	n.mu.Lock()
	lag := n.extraDelay
	n.attempts++
	n.mu.Unlock()
	time.Sleep(linkLatency + lag)
	if ctx.Err() != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, ctx.Err())
	}
	arrivedAt := time.Now()
	answer, err := n.hop.Run(ctx, r)
	held := time.Since(arrivedAt)
	time.Sleep(linkLatency + lag)
	if answer != nil {
		answer.Body = &linkBody{ReadCloser: answer.Body, link: &n.link}
	}
	if err != nil {
		return &contract.Answer{Load: n.hop.Load(), GateTime: held}, err
	}
	answer.GateTime = held
	return answer, nil
}

func (w *loadSimulation) BootMillis(string) int64 { return 1 }

func (w *loadSimulation) DropLink(string) {}

func (w *loadSimulation) Fence(_ context.Context, peer, id string, _ int64) (bool, error) {
	return w.byPeer[peer].hop.Fence(id), nil
}

// countRequest counts a request for its service; retry reports that the run that made
// it was a retry.
func (w *loadSimulation) countRequest(r *contract.Request, retry bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.arrivalsByService[r.Service]
	if a == nil {
		a = &loadArrivals{}
		w.arrivalsByService[r.Service] = a
	}
	a.requests++
	if retry {
		w.arrived[r.ID] = true
	}
}

// countArrival counts the arrival of a request at a server and reports whether it is a
// retry.
func (w *loadSimulation) countArrival(service, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	retry := w.arrived[id]
	w.arrived[id] = true
	if retry {
		w.arrivalsByService[service].retries++
	}
	return retry
}

// setShedShare makes all servers of a service refuse a share of their requests.
func (w *loadSimulation) setShedShare(service string, share float64) {
	for _, n := range w.nodes {
		if n.service == service {
			n.shedShare = share
		}
	}
}

func (w *loadSimulation) request(name string, now, objective, deadline time.Time) *contract.Request {
	r := w.routes[name]
	w.mu.Lock()
	w.lastID++
	id := fmt.Sprint("r", w.lastID)
	w.mu.Unlock()
	if objective.After(deadline) {
		objective = deadline
	}
	return &contract.Request{
		ID: id, Service: r.service, Route: name, Idempotent: r.idempotent, Rank: r.priority,
		Objective: objective, Deadline: deadline, Body: http.NoBody,
	}
}

func (w *loadSimulation) route(name string) *mesh.Route {
	return &mesh.Route{Name: name, MaxAttempts: 3}
}

// runCaller sends one attempt, and a second one after the Retry-After time.
func (w *loadSimulation) runCaller(name string) {
	defer w.callers.Done()
	route := w.routes[name]
	first := time.Now()
	deadline := first.Add(route.deadline)
	entries := w.entries()
	node := entries[int(w.random.float()*float64(len(entries)))]
	fingerprint := uint64(w.random.float() * math.MaxUint32)
	status, retryAfter := node.sendAttempt(name, fingerprint, deadline)
	if status == http.StatusServiceUnavailable && retryAfter <= time.Until(deadline)/3 || route.idempotent && status >= http.StatusInternalServerError {
		time.Sleep(retryAfter)
		status, _ = node.sendAttempt(name, fingerprint, deadline)
	}
	took := time.Since(first)
	w.mu.Lock()
	defer w.mu.Unlock()
	tally := w.tallies[name]
	if tally == nil {
		tally = &loadTally{}
		w.tallies[name] = tally
	}
	tally.sent++
	switch {
	case status == http.StatusServiceUnavailable:
		tally.refused++
	case status != http.StatusOK:
		tally.failed++
	case took <= route.objective:
		tally.onTime++
	default:
		tally.late++
	}
}

// entries returns the nodes to which callers are connected: with simulated links, those
// without one, so that all answers cross a link.
func (w *loadSimulation) entries() []*loadNode {
	var entries []*loadNode
	for _, n := range w.nodes {
		if n.link.mbps == 0 {
			entries = append(entries, n)
		}
	}
	return entries
}

// generateLoad starts callers for a time, at a multiple of their rates.
func (w *loadSimulation) generateLoad(length time.Duration, rateFactor float64) {
	end := time.Now().Add(length)
	for name, route := range w.routes {
		if route.perSecond <= 0 {
			continue
		}
		w.callers.Add(1)
		go func() {
			defer w.callers.Done()
			for {
				interval := -math.Log(1-w.random.float()) / (route.perSecond * rateFactor)
				time.Sleep(time.Duration(interval * float64(time.Second)))
				if !time.Now().Before(end) {
					return
				}
				w.callers.Add(1)
				go w.runCaller(name)
			}
		}()
	}
	w.callers.Wait()
}

// runs returns the number of runs on the servers of a service, and how many were
// wasted.
func (w *loadSimulation) runs(service string) (runs, wasted int) {
	for _, n := range w.nodes {
		if n.service == service {
			runs += n.runs
			wasted += n.wasted
		}
	}
	return runs, wasted
}
