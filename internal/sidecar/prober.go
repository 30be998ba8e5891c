package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/verdict"
)

const (
	// probeTimeout bounds one health check. A fully loaded server queues it for a slot,
	// or never answers it.
	probeTimeout = 300 * time.Millisecond
	// probeBackoffMin and probeBackoffMax bound the backoff before the next check of a
	// server that accepts no connections.
	probeBackoffMin = 50 * time.Millisecond
	probeBackoffMax = 400 * time.Millisecond
	// unansweredColdTime is how long a server that does not answer its health check is
	// treated as cold.
	unansweredColdTime = time.Second
)

// prober checks the server's health endpoint after any event that may mean a restart.
// Until the check ends, the gate holds new requests, since a server that has just
// started sustains few requests.
type prober struct {
	hop *LastHop

	mu      sync.Mutex
	started bool
	running bool
}

// startOnce runs the first health check of this process.
func (p *prober) startOnce() {
	p.mu.Lock()
	first := !p.started
	p.started = true
	p.mu.Unlock()
	if first {
		go p.hop.onFirstProbe()
		p.holdAndProbe(false)
	}
}

// holdAndProbe holds the gate and checks the server. refused reports that the server
// refused a connection.
func (p *prober) holdAndProbe(refused bool) {
	if refused {
		p.hop.gate.MarkDown()
	} else {
		p.hop.gate.Hold()
	}
	p.hop.client.CloseIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		return
	}
	p.running = true
	go p.run()
}

func (p *prober) run() {
	backoff := probeBackoffMin
	for !p.probe() {
		time.Sleep(backoff)
		backoff = min(2*backoff, probeBackoffMax)
	}
}

// probe runs one health check. It reports whether the gate was released.
func (p *prober) probe() bool {
	view := p.hop.view()
	if view.Config == nil {
		return false
	}
	sentAt := time.Now()
	reply, err := p.check(view.Config.Services[p.hop.service].HealthPath)
	if err == nil {
		// Before p.mu is locked: the hop locks it while its own lock is held.
		p.hop.crashes.recordResponder(reply.Server, sentAt)
		p.hop.recordResponder(reply.Server)
		p.hop.observeHealthNotice(reply)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		e := verdict.FromError(err)
		if e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonUnreachable {
			p.hop.gate.MarkDown()
			p.hop.crashes.recordUnreachable()
			p.logResult("server takes no connections", 0, err)
			return false
		}
		p.running = false
		p.logResult("server did not answer its health check", unansweredColdTime, err)
		p.hop.gate.MarkUp(unansweredColdTime)
		return true
	}
	p.running = false
	p.logResult("server heard of", reply.ColdFor, nil)
	p.hop.gate.MarkUp(reply.ColdFor)
	return true
}

// check sends one health check and returns what the server states in its answer.
func (p *prober) check(path string) (protocol.ServerResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request := &contract.Request{
		Method: http.MethodGet, URI: path, Host: p.hop.address,
		Deadline: time.Now().Add(probeTimeout), Idempotent: true, Header: http.Header{},
	}
	p.hop.gate.RecordHealthCheck()
	answer, err := p.hop.client.Do(ctx, serverconn.Request{Request: request, ServerRequest: protocol.ServerRequest{Probe: true}})
	if err != nil {
		return protocol.ServerResponse{}, err
	}
	_ = answer.Body.Close() // only the headers matter
	if answer.ServerResponse.ColdForCut {
		p.hop.coldTimesCut.Add(1)
		p.hop.logger.Warn().Str("part", "gate").Dur("used", answer.ServerResponse.ColdFor).Msg("server states a cold time out of bounds")
	}
	return answer.ServerResponse, nil
}

// checkLimit asks the server for its request limit, without holding requests.
func (p *prober) checkLimit() {
	view := p.hop.view()
	if view.Config == nil {
		return
	}
	reply, err := p.check(view.Config.Services[p.hop.service].HealthPath)
	if err != nil {
		p.logResult("server did not state its limit", 0, err)
		return
	}
	p.hop.observeHealthNotice(reply)
}

// checkCold asks the server whether it is cold, without holding requests.
func (p *prober) checkCold() {
	view := p.hop.view()
	if view.Config == nil {
		return
	}
	reply, err := p.check(view.Config.Services[p.hop.service].HealthPath)
	if err != nil {
		p.logResult("server did not state whether it is cold", 0, err)
		return
	}
	p.hop.recordResponder(reply.Server)
	p.hop.observeHealthNotice(reply)
	if reply.ColdFor > 0 {
		p.logResult("server states that it is cold", reply.ColdFor, nil)
		p.hop.gate.ExtendCold(time.Now().Add(reply.ColdFor))
	}
}

func (p *prober) logResult(message string, coldFor time.Duration, err error) {
	p.hop.logger.Info().Str("part", "gate").Dur("cold_for", coldFor).AnErr("cause", err).Msg(message)
}
