package gate

import (
	"time"
)

// crashWindow is how long after a crash of the server the broken connections
// of what ran then are still reported.
const crashWindow = time.Second

// done ends a permit and passes its slot on.
func (g *Gate) done(p *Permit, o Outcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	if p.ended {
		return
	}
	p.ended = true
	g.release(p, o, now)
	g.learn(p, o, now)
	g.judge(p, o, now)
	g.dispatch(now)
}

// release takes the permit off the server and settles its account.
func (g *Gate) release(p *Permit, o Outcome, now time.Time) {
	took := now.Sub(p.started)
	g.running.remove(p)
	g.lastEnded = now
	g.accounts.correct(p.account, p.charged, took)
	if o.Kind.answered() {
		g.occupancy.add(took)
	}
	if g.isolation.running == p {
		g.isolation.finished(now)
	}
}

// learn tells the limiter what the outcome says about the server.
func (g *Gate) learn(p *Permit, o Outcome, now time.Time) {
	e := evidence{
		class: p.request.Class, latency: o.Latency, bootID: o.BootID,
		epoch: p.epoch, sequence: p.sequence, latest: g.sequence,
		full: g.fullSequence >= p.sequence && g.fullLimit == p.limit, limit: p.limit,
	}
	if e.latency <= 0 {
		e.latency = now.Sub(p.started)
	}
	switch o.Kind {
	case OutcomeGood:
		g.limiter.good(e, now)
	case OutcomeError:
		g.limiter.answered(e)
	case OutcomeShed:
		g.limiter.answered(e)
		g.limiter.shed(e)
	case OutcomeTimeout:
		g.limiter.timeout(e)
	case OutcomeRefused:
		g.limiter.refused(e)
	case OutcomeCrashed, OutcomeCanceled:
	}
}

// judge tells the quarantine what the outcome says about the request.
func (g *Gate) judge(p *Permit, o Outcome, now time.Time) {
	switch o.Kind {
	case OutcomeGood, OutcomeError:
		g.quarantine.ranWell(p.request.Fingerprint)
	case OutcomeCanceled, OutcomeTimeout:
		g.quarantine.abandon(p.request.Fingerprint, now)
	case OutcomeCrashed:
		g.crashed(p, now)
	case OutcomeShed, OutcomeRefused:
	}
}

// crashed makes all that was on the server at its crash suspect, once for each
// crash however many connections broke.
func (g *Gate) crashed(p *Permit, now time.Time) {
	sameCrash := p.sequence <= g.crashSequence && now.Sub(g.crashedAt) < crashWindow
	if sameCrash {
		return
	}
	g.crashSequence, g.crashedAt = g.sequence, now
	g.limiter.turnCold(causeCrash)
	onServer := map[uint64]bool{p.request.Fingerprint: true}
	for other := g.running.head; other != nil; other = other.next {
		onServer[other.request.Fingerprint] = true
	}
	for _, fp := range g.quarantine.takeAbandoned(now) {
		onServer[fp] = true
	}
	for fp := range onServer {
		if g.quarantine.crashed(fp, now) {
			g.logger.Warn().Str("part", "gate").Uint64("fingerprint", fp).Msg("request quarantined after crashes")
		}
	}
}
