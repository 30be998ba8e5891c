package retry

import (
	"time"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// KeyedKind is the action that a KeyedDecision permits.
type KeyedKind uint8

// The kinds of keyed decisions.
const (
	KeyedStop        KeyedKind = iota // return the final error to the caller
	KeyedRetryOwner                   // send to the same host again with the same key
	KeyedNextRank                     // send to the next ranked host, with the fences so far
	KeyedRefreshView                  // rank the hosts by a newer host list, then send
)

// KeyedAttempt describes one failed attempt of a keyed request.
type KeyedAttempt struct {
	Attempt
	// Host is the host that the attempt was sent to.
	Host host.ID
	// HostListRevision is the revision of the host list by which Host was ranked.
	HostListRevision uint64
	// RankedHosts is the number of hosts in the key's ranking.
	RankedHosts int
}

// KeyedDecision is the result of evaluating a failed attempt of a keyed request.
type KeyedDecision struct {
	Decision
	// Kind is the permitted action. It replaces Decision.Kind.
	Kind KeyedKind
	// Fenced lists the hosts that have fenced the key, for the next attempt.
	Fenced []host.ID
	// HostListRevision is the oldest acceptable host list after KeyedRefreshView.
	HostListRevision uint64
}

// keyedState is the part of a Plan that only keyed requests use.
type keyedState struct {
	fenced        []host.ID
	ownerRetries  int
	viewRefreshes int
}

// KeyedNext decides on a failed attempt of a request that is not idempotent and carries
// a key of its caller. The first host in the key's ranking owns the key: the request may
// go to another host only when the owner has fenced the key or a newer host list ranks
// the hosts differently.
func (p *Plan) KeyedNext(a KeyedAttempt) KeyedDecision {
	failure := verdict.FromError(a.Err)
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

// recordKeyedFailure updates whether the key may have run. A fence, or a gate's refusal
// with NotRun, covers earlier attempts too: only the gate that alone may run the key
// answers so, and only after it has looked the key up in its ledger. After a failed
// connection the key may have run, whatever the link reports about this attempt.
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

// connectionFailed reports whether the connection to the owner failed, so that the owner
// itself gave no answer.
func connectionFailed(failure *verdict.Error) bool {
	switch failure.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonConnectionLost, verdict.ReasonCutAnswer:
		return true
	default:
		return false
	}
}

// keyedRefreshView ranks the hosts by the newer host list that a gate reported. Sending
// to another gate is always safe: a gate runs a key only if no other gate can.
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

// keyedRetryOwner sends the request to the owner once more. That is safe because the
// owner's ledger joins or replays a key that it holds and refuses a key that an earlier
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

// keyedStop returns the final error. After a failed connection its verdict is MayHaveRun
// whatever the link reports about the last attempt, because an earlier send of the key
// may have run on that host.
func (p *Plan) keyedStop(failure *verdict.Error, reason StopReason) KeyedDecision {
	return KeyedDecision{Decision: p.stop(failure, reason), Kind: KeyedStop, Fenced: p.keyed.fenced}
}
