package sidecar

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"boragefall/internal/balance"
	"boragefall/internal/contract"
	"boragefall/internal/linkbudget"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
	"boragefall/platform"
)

// loadNode is one host: its node and a simulation of the server beside it.
type loadNode struct {
	simulation    *loadSimulation
	id            string
	service       string
	slots         int
	speed         float64
	hop           *LastHop
	dispatcher    *Dispatcher
	callerRetries *callerRetries
	link          loadLink

	mu sync.Mutex
	// runs counts the requests that the server ran, wasted those of them without
	// success.
	runs, wasted int
	// attempts counts the requests that other nodes sent to this node for its server.
	attempts int
	// shedShare is the share of requests that the server refuses.
	shedShare float64
	// notice is what the server states about itself, noticedAt is when it first stated it,
	// and arrivedAt are the arrivals at the server.
	notice    protocol.ServerNotice
	noticedAt time.Time
	arrivedAt []time.Time
	// pace is how the speed of the server changes; nil if it does not.
	pace *loadPace
	// running is the number of requests that the server runs.
	running int
	// extraDelay is added to each message in either direction.
	extraDelay time.Duration
}

func (n *loadNode) start() {
	crashes, err := newCrashTracker(func(crashNotice) {}, telemetry.Silent())
	if err != nil {
		panic(err)
	}
	n.hop, err = NewLastHop(LastHopConfig{LimitRuns: true,
		StaleCopy: func(time.Time) bool { return false }, OnFirstProbe: func() {}, Drain: &drainEnd{},
		ColdLimit: ColdStartLimit{Overshoot: 1.5}, Address: n.id + ":8000", Service: n.service, View: n.simulation.catalog.View,
		Client: n, Crashes: crashes, Logger: telemetry.Silent(), Bodies: newBodyReceiver(n.link.mbps, 128),
		LinkMbps: n.link.mbps, LinkBacklog: n.link.visibleBacklog,
		MarkLeaving: n.simulation.catalog.MarkLeaving,
	})
	if err != nil {
		panic(err)
	}
	n.callerRetries = newCallerRetries()
	n.dispatcher = &Dispatcher{
		answerTimes: linkbudget.NewTimes(), drain: &drainEnd{},
		headers: platform.Headers{}, markLeaving: n.simulation.catalog.MarkLeaving, answerSizes: linkbudget.NewSizes(), hop: n.hop, view: n.simulation.catalog.View, peers: n.simulation, balancer: balance.New("north", n.simulation.random.float),
		retryBudget: loadBudget, linkPort: "9000", logger: telemetry.Silent(), meter: fakeMeter{},
	}
	n.simulation.catalog.OnChange(n.hop.Update)
}

// CloseIdle does nothing: the server is in this process.
func (n *loadNode) CloseIdle() {}

// SetMaxConnections does nothing: the server is in this process.
func (n *loadNode) SetMaxConnections(int) {}

// Do runs a request on the host's server.
func (n *loadNode) Do(ctx context.Context, r serverconn.Request) (*serverconn.Answer, error) {
	if r.ServerRequest.Probe {
		n.mu.Lock()
		defer n.mu.Unlock()
		return serverAnswer(http.StatusOK, protocol.ServerResponse{Signed: true, Server: mesh.ServerID(n.id), Notice: n.notice, Load: n.pace.load(time.Now())}), nil
	}
	n.mu.Lock()
	n.arrivedAt = append(n.arrivedAt, time.Now())
	n.mu.Unlock()
	retry := n.simulation.countArrival(n.service, r.ID)
	if n.shedShare > 0 && n.simulation.random.float() < n.shedShare {
		return serverAnswer(http.StatusServiceUnavailable, protocol.ServerResponse{NotExecuted: true}), nil
	}
	route := n.simulation.routes[r.Route]
	n.mu.Lock()
	n.runs++
	n.running++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.running--
	}()
	status := http.StatusOK
	work := time.Duration(float64(n.simulation.random.sampleDuration(route.work)) / n.speed)
	n.work(ctx, work/2)
	if float64(r.Fingerprint)/math.MaxUint32 < route.callShare {
		for range route.calls {
			if !n.call(ctx, r, route.callRoute, retry) {
				status = http.StatusInternalServerError
				break
			}
		}
	}
	if status == http.StatusOK {
		n.work(ctx, work/2)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		n.wasted++
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, ctx.Err())
	}
	if status != http.StatusOK {
		n.wasted++
	}
	answer := serverAnswer(status, protocol.ServerResponse{Signed: true, Notice: n.notice, Load: n.pace.load(time.Now())})
	if route.answerBytes > 0 && status == http.StatusOK {
		answer.ContentLength = n.simulation.random.sampleBytes(route.answerBytes)
		answer.Body = io.NopCloser(io.LimitReader(zeroReader{}, answer.ContentLength))
	}
	return answer, nil
}

// state makes the server state something about itself in its answers from now on.
func (n *loadNode) state(notice protocol.ServerNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notice, n.noticedAt = notice, time.Now()
}

// sleepContext returns early when ctx ends, as a server's work ends with its
// connection.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// call sends a nested call of the server.
func (n *loadNode) call(ctx context.Context, parent serverconn.Request, name string, retry bool) bool {
	route := n.simulation.routes[name]
	now := time.Now()
	deadline := now.Add(route.deadline)
	if end := now.Add(parent.ServerRequest.TimeRemaining); end.Before(deadline) {
		deadline = end
	}
	request := n.simulation.request(name, now, now.Add(route.objective), deadline)
	request.ID = parent.ID + callSeparator + request.ID
	n.simulation.countRequest(request, retry)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, err := n.dispatcher.Do(ctx, request, n.simulation.route(name), emptyBody{})
	if err != nil {
		return false
	}
	_ = answer.Body.Close() // nothing is read of it
	return answer.Status == http.StatusOK
}

func serverAnswer(status int, reply protocol.ServerResponse) *serverconn.Answer {
	return &serverconn.Answer{Answer: contract.Answer{
		Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(nil)), ContentLength: 0,
	}, ServerResponse: reply, Buffered: true}
}

// sendAttempt sends one attempt of a caller on this host, as its entry does.
func (n *loadNode) sendAttempt(name string, fingerprint uint64, deadline time.Time) (status int, retryAfter time.Duration) {
	now := time.Now()
	firstAt := n.callerRetries.firstAttemptAt(fingerprint, deadline, now)
	request := n.simulation.request(name, now, firstAt.Add(n.simulation.routes[name].objective), deadline)
	request.Fingerprint = fingerprint
	n.simulation.countRequest(request, false)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	answer, err := n.dispatcher.Do(ctx, request, n.simulation.route(name), emptyBody{})
	if err != nil {
		n.callerRetries.recordUnanswered(fingerprint, firstAt, deadline)
		if err.Verdict == verdict.NotRun {
			return http.StatusServiceUnavailable, err.RetryAfter
		}
		return http.StatusBadGateway, 0
	}
	size, readErr := io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close() // read to its end, or broken off
	if readErr != nil {
		return http.StatusBadGateway, 0
	}
	n.dispatcher.answerSizes.Observe(name, size)
	if answer.Status >= http.StatusInternalServerError {
		n.callerRetries.recordUnanswered(fingerprint, firstAt, deadline)
	}
	return answer.Status, 0
}
