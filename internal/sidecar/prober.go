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
	// probeTimeout bounds one health check. A server that is full lets it wait
	// for a slot, or never answers.
	probeTimeout = 300 * time.Millisecond
	// probeBackoffMin and probePauseMax bound the pause before the next check of a
	// server that takes no connections.
	probeBackoffMin = 50 * time.Millisecond
	probeBackoffMax = 400 * time.Millisecond
	// unansweredColdTime is how long a server that does not answer its health check
	// is treated as cold.
	unansweredColdTime = time.Second
)

// prober asks the server's health endpoint after whatever may have restarted
// it. Until the answer the gate holds new work, since a server that has just
// started bears little.
type prober struct {
	hop *LastHop

	mu      sync.Mutex
	started bool
	running bool
}

// startOnce makes the first check of a process.
func (p *prober) startOnce() {
	p.mu.Lock()
	first := !p.started
	p.started = true
	p.mu.Unlock()
	if first {
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

// probe makes one health probe. It reports whether the gate was told to go on.
func (p *prober) probe() bool {
	view := p.hop.view()
	if view.Config == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request := &contract.Request{
		Method: http.MethodGet, URI: view.Config.Services[p.hop.service].HealthPath, Host: p.hop.address,
		Deadline: time.Now().Add(probeTimeout), Idempotent: true, Header: http.Header{},
	}
	answer, err := p.hop.client.Do(ctx, serverconn.Request{Request: request, ServerRequest: protocol.ServerRequest{Probe: true}})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		e := verdict.Of(err)
		if e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonUnreachable {
			p.hop.gate.MarkDown()
			p.logResult("server takes no connections", 0, err)
			return false
		}
		p.running = false
		p.logResult("server did not answer its health check", unansweredColdTime, err)
		p.hop.gate.MarkUp(unansweredColdTime)
		return true
	}
	_ = answer.Body.Close() // the headers say all
	p.running = false
	p.hop.recordResponder(answer.ServerResponse.Server)
	p.logResult("server heard of", answer.ServerResponse.ColdFor, nil)
	p.hop.gate.MarkUp(answer.ServerResponse.ColdFor)
	return true
}

func (p *prober) logResult(message string, coldFor time.Duration, err error) {
	p.hop.logger.Info().Str("part", "gate").Dur("cold_for", coldFor).AnErr("cause", err).Msg(message)
}
