package retry

import (
	"time"

	"boragefall/internal/verdict"
)

// Plan is the state of one request's attempts at one hop. It belongs to the
// goroutine that serves the request.
type Plan struct {
	config           *Config
	budgets          *serviceBudgets
	request          Request
	retries          int
	reroutes         int
	overloadReroutes int
	mayHaveRun       bool // an attempt so far may have run
	keyed            keyedState
}

// Next decides after a failed attempt. A permitted attempt goes to a server
// that was not tried yet and carries Decision.Attempt.
func (p *Plan) Next(a Attempt) Decision {
	failure := verdict.Of(a.Err)
	p.mayHaveRun = p.mayHaveRun || failure.Verdict == verdict.MayHaveRun
	if reason := p.sharedStopReason(failure, a); reason != StopNone {
		return p.stop(failure, reason)
	}
	if failure.Verdict == verdict.NotRun {
		return p.nextReroute(failure)
	}
	return p.nextRetry(failure)
}

// sharedStopReason applies the rules that moves and retries share.
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

// attemptNumber is what the next request carries. Moves don't count: the refused
// attemptNumber went nowhere, so nothing below has been tried yet.
func (p *Plan) attemptNumber() uint32 {
	return p.request.IncomingAttempt + uint32(p.retries)
}

// stop returns the final error. Its verdict covers all attempts: a last one
// that did not run says nothing of those before. Once this hop has tried
// again, or its budget forbids it, the reason tells the hops before not to.
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

// isNotRetryable reports whether every other server would answer the same, or
// whether the answer belongs to the one that gave it.
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
