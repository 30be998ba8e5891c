package retry

import (
	"time"

	"boragefall/internal/verdict"
)

// Plan tracks the attempts of one request at one hop. It is not safe for concurrent use.
type Plan struct {
	config           *Config
	budgets          *serviceBudgets
	request          Request
	retries          int
	reroutes         int
	overloadReroutes int
	mayHaveRun       bool // whether any attempt so far may have run
	keyed            keyedState
}

// Next decides on a failed attempt. A permitted attempt must go to a server that has not
// been tried yet and carries Decision.Attempt.
func (p *Plan) Next(a Attempt) Decision {
	failure := verdict.FromError(a.Err)
	p.mayHaveRun = p.mayHaveRun || failure.Verdict == verdict.MayHaveRun
	if reason := p.sharedStopReason(failure, a); reason != StopNone {
		return p.stop(failure, reason)
	}
	if failure.Verdict == verdict.NotRun {
		return p.nextReroute(failure)
	}
	return p.nextRetry(failure)
}

// sharedStopReason applies the rules that reroutes and retries share.
func (p *Plan) sharedStopReason(failure *verdict.Error, a Attempt) StopReason {
	switch {
	case failure.Reason == verdict.ReasonRetryBudget:
		return StopLaterHopGaveUp
	case !failure.Verdict.PermitsRetry(p.request.Idempotent):
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

func (p *Plan) hasTimeLeft(now time.Time) bool {
	return now.Add(p.config.MinRemaining).Before(p.request.Deadline)
}

func (p *Plan) nextReroute(failure *verdict.Error) Decision {
	overload := failure.Reason == verdict.ReasonOverloaded
	if p.reroutes >= p.config.MaxReroutes || overload && p.overloadReroutes >= p.config.MaxOverloadReroutes {
		return p.stop(failure, StopAttemptLimit)
	}
	if !p.budgets.reroutes.TryWithdraw() {
		return p.stop(failure, StopBudgetExhausted)
	}
	p.reroutes++
	if overload {
		p.overloadReroutes++
	}
	return Decision{Kind: Reroute, Attempt: p.attemptNumber()}
}

func (p *Plan) nextRetry(failure *verdict.Error) Decision {
	switch {
	case p.request.IncomingAttempt > 0:
		return p.stop(failure, StopEarlierHopRetries)
	case p.retries >= p.request.MaxRetries:
		return p.stop(failure, StopAttemptLimit)
	case !p.budgets.retries.TryWithdraw():
		return p.stop(failure, StopBudgetExhausted)
	}
	p.retries++
	return Decision{Kind: Retry, Attempt: p.attemptNumber()}
}

// attemptNumber returns the attempt number that the next request carries. Reroutes don't
// count: a refused attempt was not forwarded, so no later hop has seen it.
func (p *Plan) attemptNumber() uint32 {
	return p.request.IncomingAttempt + uint32(p.retries)
}

// stop returns the final error. Its verdict covers all attempts: if an earlier one may
// have run, the request may have run although the last attempt did not. If this hop has
// made further attempts or lacks the budget for one, the reason is set to retry-budget,
// which keeps earlier hops from retrying.
func (p *Plan) stop(failure *verdict.Error, reason StopReason) Decision {
	final := *failure
	if p.mayHaveRun && final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	if p.retries+p.reroutes > 0 || reason == StopBudgetExhausted {
		final.Reason = verdict.ReasonRetryBudget
		final.Cause = failure
	}
	if final.RetryAfter <= 0 {
		final.RetryAfter = p.config.RetryAfter
	}
	return Decision{Kind: Stop, StopReason: reason, Attempt: p.attemptNumber(), Final: &final}
}

// isNotRetryable reports whether another server can't give a better result: the failure
// belongs to the request itself, or the answer is final for its key.
func isNotRetryable(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonNoRoute, verdict.ReasonDeadline, verdict.ReasonCanceled,
		verdict.ReasonHopLimit, verdict.ReasonQuarantined, verdict.ReasonKeyConflict,
		verdict.ReasonKeyRequired, verdict.ReasonBadRequest, verdict.ReasonBodyTooLarge,
		verdict.ReasonAnswerLost:
		return true
	default:
		return false
	}
}
