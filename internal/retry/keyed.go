package retry

import (
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// KeyedKind says what a keyed decision permits.
type KeyedKind uint8

// Kinds of keyed decisions.
const (
	KeyedStop     KeyedKind = iota // give the final error to the caller
	KeyedAskAgain                  // ask the same host again with the same key
	KeyedNextRank                  // ask the next host in rank, with the fences
	KeyedNewView                   // rank again by a newer host list, then ask
)

// KeyedAttempt is one failed attempt of a keyed request.
type KeyedAttempt struct {
	Attempt
	// Host is the host that was asked.
	Host host.ID
	// HostListRevision is the view that ranked it.
	HostListRevision uint64
	// Ranks is the number of hosts that the key ranks.
	Ranks int
}

// KeyedDecision is the answer to a failed keyed attempt.
type KeyedDecision struct {
	Decision
	// Kind says what to do; it stands in place of Decision.Kind.
	Kind KeyedKind
	// Fenced lists the hosts that fenced the key so far, for the next attempt.
	Fenced []host.ID
	// HostListRevision is the least view to rank by after KeyedNewView.
	HostListRevision uint64
}

// keyedState is the part of a plan that keyed requests use.
type keyedState struct {
	fenced    []host.ID
	reasks    int
	refreshes int
}

// KeyedNext decides for a request that is not idempotent and carries its
// caller's key. The host that the key ranks first owns it, so no other host
// may be asked unless the owner has fenced the key.
func (p *Plan) KeyedNext(a KeyedAttempt) KeyedDecision {
	failure := verdict.Of(a.Err)
	p.noteKeyed(failure, a.Host)
	if why := p.keyedForbids(failure, a); why != WhyPermitted {
		return p.keyedStop(failure, why)
	}
	switch {
	case failure.HostListRevision > a.HostListRevision && !lostContact(failure):
		return p.keyedNewView(failure)
	case failure.Fenced:
		return p.keyedNextRank(failure, a)
	case lostContact(failure):
		return p.keyedAskAgain(failure, a.Now)
	default:
		return p.keyedStop(failure, WhyVerdict)
	}
}

// noteKeyed keeps what the failure says of the key. A fence, or a gate's word
// that the key did not run, covers earlier attempts too: only the gate that
// alone may run the key gives it, and it looked into its ledger. A lost contact
// proves nothing, whatever the link says of the attempt.
func (p *Plan) noteKeyed(failure *verdict.Error, asked host.ID) {
	switch {
	case failure.Fenced:
		p.keyed.fenced = append(p.keyed.fenced, asked)
		p.mayHaveRun = false
	case failure.Verdict == verdict.MayHaveRun || lostContact(failure):
		p.mayHaveRun = true
	case failure.Verdict == verdict.NotRun:
		p.mayHaveRun = false
	}
}

func (p *Plan) keyedForbids(failure *verdict.Error, a KeyedAttempt) Why {
	switch {
	case failure.Reason == verdict.ReasonRetryBudget:
		return WhyGaveUpBelow
	case failure.Verdict == verdict.Ran:
		return WhyVerdict
	case sameElsewhere(failure.Reason):
		return WhyReason
	case a.BodySpent:
		return WhyBodySpent
	case p.request.Hops >= p.config.HopLimit:
		return WhyHopLimit
	case !p.timeLeft(a.Now):
		return WhyDeadline
	default:
		return WhyPermitted
	}
}

// lostContact reports whether the link to the owner failed, so that the owner
// itself gave no answer.
func lostContact(failure *verdict.Error) bool {
	switch failure.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonConnectionLost, verdict.ReasonCutAnswer:
		return true
	default:
		return false
	}
}

// keyedNewView ranks again by the view of a gate that knows a newer one. Asking
// another gate is always safe: a gate runs a key only if no other can.
func (p *Plan) keyedNewView(failure *verdict.Error) KeyedDecision {
	if p.keyed.refreshes >= defaultKeyedRefreshes {
		return p.keyedStop(failure, WhyLimit)
	}
	if !p.budgets.moves.Take() {
		return p.keyedStop(failure, WhyBudget)
	}
	p.keyed.refreshes++
	d := p.keyedGo(KeyedNewView)
	d.HostListRevision = failure.HostListRevision
	return d
}

func (p *Plan) keyedNextRank(failure *verdict.Error, a KeyedAttempt) KeyedDecision {
	if p.moves >= p.config.MaxMoves || len(p.keyed.fenced) >= a.Ranks {
		return p.keyedStop(failure, WhyLimit)
	}
	if !p.budgets.moves.Take() {
		return p.keyedStop(failure, WhyBudget)
	}
	p.moves++
	return p.keyedGo(KeyedNextRank)
}

// keyedAskAgain asks the owner once more. That is safe because its ledger
// joins or answers a key that it has seen and refuses one that an earlier
// process may have run.
func (p *Plan) keyedAskAgain(failure *verdict.Error, now time.Time) KeyedDecision {
	switch {
	case p.request.UpstreamAttempt > 0:
		return p.keyedStop(failure, WhyUpstreamRetries)
	case p.keyed.reasks >= defaultKeyedReasks:
		return p.keyedStop(failure, WhyLimit)
	case !p.budgets.retries.Take():
		return p.keyedStop(failure, WhyBudget)
	}
	p.keyed.reasks++
	p.retries++
	return p.keyedGo(KeyedAskAgain)
}

func (p *Plan) keyedGo(kind KeyedKind) KeyedDecision {
	return KeyedDecision{
		Decision: Decision{Attempt: p.attempt()},
		Kind:     kind,
		Fenced:   p.keyed.fenced,
	}
}

// keyedStop returns the final error. After a lost contact it is MayHaveRun
// whatever the link says of the attempt: an earlier send of the key may have
// run at that host.
func (p *Plan) keyedStop(failure *verdict.Error, why Why) KeyedDecision {
	return KeyedDecision{Decision: p.stop(failure, why), Kind: KeyedStop, Fenced: p.keyed.fenced}
}
