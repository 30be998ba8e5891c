package gate

import (
	"slices"
	"time"
)

// crashWindow is how long after a server crash the broken connections of the requests
// that ran then are still being reported.
const crashWindow = time.Second

// done ends a permit and passes its slot to the next waiting request.
func (g *Gate) done(p *Permit, o Outcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.unlock(now)
	if p.ended {
		return
	}
	p.ended = true
	g.release(p, o, now)
	g.updateLimiter(p, o, now)
	g.updateQuarantine(p, o, now)
	g.dispatch(now)
}

// release removes the permit from the running list and reconciles its account.
func (g *Gate) release(p *Permit, o Outcome, now time.Time) {
	g.running.remove(p)
	g.lastEnded = now
	g.accounts.reconcile(p.account, p, now)
	if o.Kind.answered() {
		g.occupancy.add(now.Sub(p.started))
	}
	if g.isolation.running == p {
		g.isolation.recordEnd(now)
	}
}

// updateLimiter passes the outcome to the limiter, as a sample of the server's state.
func (g *Gate) updateLimiter(p *Permit, o Outcome, now time.Time) {
	s := sample{
		class: p.request.Class, latency: o.Latency, bootID: o.BootID,
		epoch: p.epoch, sequence: p.sequence, latestSequence: g.sequence,
		saturated: g.saturatedSequence >= p.sequence && g.saturatedLimit == p.limit, limit: p.limit,
	}
	if s.latency <= 0 {
		s.latency = now.Sub(p.started)
	}
	switch o.Kind {
	case OutcomeSuccess:
		g.limiter.recordSuccess(s, now)
	case OutcomeError:
		g.limiter.recordResponse(s)
	case OutcomeShed:
		g.limiter.recordResponse(s)
		g.limiter.recordOverload(s)
	case OutcomeTimeout:
		g.limiter.recordTimeout(s)
	case OutcomeConnectionRefused:
		g.limiter.recordConnectionRefused(s, now)
	case OutcomeCrashed, OutcomeCanceled:
	}
}

// updateQuarantine records in the quarantine whether the request completed, was abandoned
// or crashed.
func (g *Gate) updateQuarantine(p *Permit, o Outcome, now time.Time) {
	switch o.Kind {
	case OutcomeSuccess, OutcomeError:
		g.quarantine.recordCompletion(p.request.Fingerprint, now)
	case OutcomeCanceled, OutcomeTimeout:
		g.quarantine.recordAbandoned(p.request.Fingerprint, now)
	case OutcomeCrashed:
		g.handleCrash(p, now)
	case OutcomeShed, OutcomeConnectionRefused:
	}
}

// handleCrash marks every request that was on the server at its crash as suspect, once
// for each crash, however many connections broke.
func (g *Gate) handleCrash(p *Permit, now time.Time) {
	if p.crashRecorded && now.Sub(g.crashedAt) < crashWindow {
		return
	}
	g.crashedAt = now
	g.limiter.turnCold(causeCrash)
	defer g.notifyCrash()
	for _, fp := range g.crashCandidates(p, now) {
		if g.quarantine.recordCrash(fp, now) {
			g.logger.Warn().Str("part", "gate").Uint64("fingerprint", fp).Msg("request quarantined after crashes")
		}
	}
}

// crashCandidates returns the fingerprints, without duplicates, that may have caused the
// crash which ended p. A running request with an earlier crash on record has survived
// that crash, so the new one is not recorded against it.
func (g *Gate) crashCandidates(p *Permit, now time.Time) []uint64 {
	fingerprints := append(g.quarantine.takeAbandoned(now), p.request.Fingerprint)
	for other := g.running.head; other != nil; other = other.next {
		if !other.crashRecorded {
			other.crashRecorded = true
			fingerprints = append(fingerprints, other.request.Fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints)
}

// notifyCrash signals that the suspect or quarantined fingerprints changed.
func (g *Gate) notifyCrash() {
	select {
	case g.crashes <- struct{}{}:
	default: // a signal is pending already
	}
}
