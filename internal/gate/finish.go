package gate

import (
	"slices"
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
	g.running.remove(p)
	g.lastEnded = now
	g.accounts.correct(p.account, p, now)
	if o.Kind.answered() {
		g.occupancy.add(now.Sub(p.started))
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
		g.limiter.refused(e, now)
	case OutcomeCrashed, OutcomeCanceled:
	}
}

// judge tells the quarantine what the outcome says about the request.
func (g *Gate) judge(p *Permit, o Outcome, now time.Time) {
	switch o.Kind {
	case OutcomeGood, OutcomeError:
		g.quarantine.ranWell(p.request.Fingerprint, now)
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
	if p.blamed && now.Sub(g.crashedAt) < crashWindow {
		return
	}
	g.crashedAt = now
	g.limiter.turnCold(causeCrash)
	defer g.tellCrash()
	for _, fp := range g.onServer(p, now) {
		if g.quarantine.crashed(fp, now) {
			g.logger.Warn().Str("part", "gate").Uint64("fingerprint", fp).Msg("request quarantined after crashes")
		}
	}
}

// onServer returns the fingerprints that the crash which ended p can be blamed
// on, each once. A request that was blamed for an earlier crash and still ran
// had survived that one, so it is not blamed twice.
func (g *Gate) onServer(p *Permit, now time.Time) []uint64 {
	fingerprints := append(g.quarantine.takeAbandoned(now), p.request.Fingerprint)
	for other := g.running.head; other != nil; other = other.next {
		if !other.blamed {
			other.blamed = true
			fingerprints = append(fingerprints, other.request.Fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints)
}

// tellCrash signals that the suspects or the convicted changed.
func (g *Gate) tellCrash() {
	select {
	case g.crashes <- struct{}{}:
	default: // a signal is waiting already
	}
}
