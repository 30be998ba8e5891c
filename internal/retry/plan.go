package retry

import (
	"time"

	"boragefall/internal/verdict"
)

// Plan is the state of one request's attempts at one hop. It belongs to the
// goroutine that serves the request.
type Plan struct {
	config        *Config
	budgets       *serviceBudgets
	request       Request
	retries       int
	moves         int
	overloadMoves int
	mayHaveRun    bool // an attempt so far may have run
	keyed         keyedState
}

// Next decides after a failed attempt. A permitted attempt goes to a server
// that was not tried yet and carries Decision.Attempt.
func (p *Plan) Next(a Attempt) Decision {
	failure := verdict.Of(a.Err)
	p.mayHaveRun = p.mayHaveRun || failure.Verdict == verdict.MayHaveRun
	if why := p.forbids(failure, a); why != WhyPermitted {
		return p.stop(failure, why)
	}
	if failure.Verdict == verdict.NotRun {
		return p.nextMove(failure)
	}
	return p.nextRetry(failure)
}

// forbids applies the rules that moves and retries share.
func (p *Plan) forbids(failure *verdict.Error, a Attempt) Why {
	switch {
	case failure.Reason == verdict.ReasonRetryBudget:
		return WhyGaveUpBelow
	case !failure.Verdict.PermitsRetry(p.request.Idempotent):
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

func (p *Plan) timeLeft(now time.Time) bool {
	return now.Add(p.config.MinRemaining).Before(p.request.Deadline)
}

func (p *Plan) nextMove(failure *verdict.Error) Decision {
	overload := failure.Reason == verdict.ReasonOverloaded
	if p.moves >= p.config.MaxMoves || overload && p.overloadMoves >= p.config.MaxOverloadMoves {
		return p.stop(failure, WhyLimit)
	}
	if !p.budgets.moves.Take() {
		return p.stop(failure, WhyBudget)
	}
	p.moves++
	if overload {
		p.overloadMoves++
	}
	return Decision{Kind: Move, Attempt: p.attempt()}
}

func (p *Plan) nextRetry(failure *verdict.Error) Decision {
	switch {
	case p.request.UpstreamAttempt > 0:
		return p.stop(failure, WhyUpstreamRetries)
	case p.retries >= p.request.Retries:
		return p.stop(failure, WhyLimit)
	case !p.budgets.retries.Take():
		return p.stop(failure, WhyBudget)
	}
	p.retries++
	return Decision{Kind: Retry, Attempt: p.attempt()}
}

// attempt is what the next request carries. Moves don't count: the refused
// attempt went nowhere, so nothing below has been tried yet.
func (p *Plan) attempt() uint32 {
	return p.request.UpstreamAttempt + uint32(p.retries)
}

// stop returns the final error. Its verdict covers all attempts: a last one
// that did not run says nothing of those before. Once this hop has tried
// again, or its budget forbids it, the reason tells the hops before not to.
func (p *Plan) stop(failure *verdict.Error, why Why) Decision {
	final := *failure
	if p.mayHaveRun && final.Verdict == verdict.NotRun {
		final.Verdict = verdict.MayHaveRun
	}
	if p.retries+p.moves > 0 || why == WhyBudget {
		final.Reason = verdict.ReasonRetryBudget
		final.Cause = failure
	}
	if final.RetryAfter <= 0 {
		final.RetryAfter = p.config.RetryAfter
	}
	return Decision{Kind: Stop, Why: why, Attempt: p.attempt(), Final: &final}
}

// sameElsewhere reports whether every other server would answer the same, or
// whether the answer belongs to the one that gave it.
func sameElsewhere(r verdict.Reason) bool {
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
