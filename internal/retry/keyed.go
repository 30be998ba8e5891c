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
	KeyedStop        KeyedKind = iota // give the final error to the caller
	KeyedRetryOwner                   // ask the same host again with the same key
	KeyedNextRank                     // ask the next host in rank, with the fences
	KeyedRefreshView                  // rank again by a newer host list, then ask
)

// KeyedAttempt is one failed attempt of a keyed request.
type KeyedAttempt struct {
	Attempt
	// Host is the host that was asked.
	Host host.ID
	// HostListRevision is the view that ranked it.
	HostListRevision uint64
	// RankedHosts is the number of hosts that the key ranks.
	RankedHosts int
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
	fenced        []host.ID
	ownerRetries  int
	viewRefreshes int
}

// KeyedNext decides for a request that is not idempotent and carries its
// caller's key. The host that the key ranks first owns it, so no other host
// may be asked unless the owner has fenced the key.
func (p *Plan) KeyedNext(a KeyedAttempt) KeyedDecision {
	failure := verdict.Of(a.Err)
	p.recordKeyedFailure(failure, a.Host)
	if reason := p.keyedStopReason(failure, a); reason != StopNone {
		return p.keyedStop(failure, reason)
	}
	switch {
	case failure.HostListRevision > a.HostListRevision && !connectionFailed(failure):
		return p.keyedRefreshView(failure)
	case failure.Fenced:
		return p.keyedNextRank(failure, a)
	case connectionFailed(failure):
		return p.keyedRetryOwner(failure, a.Now)
	default:
		return p.keyedStop(failure, StopVerdict)
	}
}

// recordKeyedFailure keeps what the failure says of the key. A fence, or a gate's word
// that the key did not run, covers earlier attempts too: only the gate that
// alone may run the key gives it, and it looked into its ledger. A lost contact
// proves nothing, whatever the link says of the attempt.
func (p *Plan) recordKeyedFailure(failure *verdict.Error, target host.ID) {
	switch {
	case failure.Fenced:
		p.keyed.fenced = append(p.keyed.fenced, target)
		p.mayHaveRun = false
	case failure.Verdict == verdict.MayHaveRun || connectionFailed(failure):
		p.mayHaveRun = true
	case failure.Verdict == verdict.NotRun:
		p.mayHaveRun = false
	}
}

func (p *Plan) keyedStopReason(failure *verdict.Error, a KeyedAttempt) StopReason {
	switch {
	case failure.Reason == verdict.ReasonRetryBudget:
		return StopLaterHopGaveUp
	case failure.Verdict == verdict.Ran:
		return StopVerdict
	case isNotRetryable(failure.Reason):
		return StopNotRetryable
	case a.BodyConsumed:
		return StopBodyConsumed
	case p.request.Hops >= p.config.HopLimit:
		return StopHopLimit
	case !p.hasTimeLeft(a.Now):
		return StopDeadline
	default:
		return StopNone
	}
}

// connectionFailed reports whether the link to the owner failed, so that the owner
// itself gave no answer.
func connectionFailed(failure *verdict.Error) bool {
	switch failure.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonConnectionLost, verdict.ReasonCutAnswer:
		return true
	default:
		return false
	}
}

// keyedRefreshView ranks again by the view of a gate that knows a newer one. Asking
// another gate is always safe: a gate runs a key only if no other can.
func (p *Plan) keyedRefreshView(failure *verdict.Error) KeyedDecision {
	if p.keyed.viewRefreshes >= maxViewRefreshes {
		return p.keyedStop(failure, StopAttemptLimit)
	}
	if !p.budgets.reroutes.TryWithdraw() {
		return p.keyedStop(failure, StopBudgetExhausted)
	}
	p.keyed.viewRefreshes++
	d := p.keyedContinue(KeyedRefreshView)
	d.HostListRevision = failure.HostListRevision
	return d
}

func (p *Plan) keyedNextRank(failure *verdict.Error, a KeyedAttempt) KeyedDecision {
	if p.reroutes >= p.config.MaxReroutes || len(p.keyed.fenced) >= a.RankedHosts {
		return p.keyedStop(failure, StopAttemptLimit)
	}
	if !p.budgets.reroutes.TryWithdraw() {
		return p.keyedStop(failure, StopBudgetExhausted)
	}
	p.reroutes++
	return p.keyedContinue(KeyedNextRank)
}

// keyedRetryOwner asks the owner once more. That is safe because its ledger
// joins or answers a key that it has seen and refuses one that an earlier
// process may have run.
func (p *Plan) keyedRetryOwner(failure *verdict.Error, now time.Time) KeyedDecision {
	switch {
	case p.request.IncomingAttempt > 0:
		return p.keyedStop(failure, StopEarlierHopRetries)
	case p.keyed.ownerRetries >= maxOwnerRetries:
		return p.keyedStop(failure, StopAttemptLimit)
	case !p.budgets.retries.TryWithdraw():
		return p.keyedStop(failure, StopBudgetExhausted)
	}
	p.keyed.ownerRetries++
	p.retries++
	return p.keyedContinue(KeyedRetryOwner)
}

func (p *Plan) keyedContinue(kind KeyedKind) KeyedDecision {
	return KeyedDecision{
		Decision: Decision{Attempt: p.attemptNumber()},
		Kind:     kind,
		Fenced:   p.keyed.fenced,
	}
}

// keyedStop returns the final error. After a lost contact it is MayHaveRun
// whatever the link says of the attempt: an earlier send of the key may have
// run at that host.
func (p *Plan) keyedStop(failure *verdict.Error, reason StopReason) KeyedDecision {
	return KeyedDecision{Decision: p.stop(failure, reason), Kind: KeyedStop, Fenced: p.keyed.fenced}
}
