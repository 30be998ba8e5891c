package sidecar

import (
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/callbudget"
	"boragefall/internal/contract"
	"boragefall/internal/serverconn"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
)

// startBudgeted starts a run, or refuses it because its calls are being refused.
func (h *LastHop) startBudgeted(r *contract.Request) (*callbudget.Run, *verdict.Error) {
	started, refused := h.callBudget.Start(callbudget.Request{
		Class: callbudget.Class{Route: r.Route, Rank: r.Rank, Retry: r.Attempt > 0 && !r.Hedge}, Nested: r.Nested, Hedge: r.Hedge, Contended: h.gate.Overloaded(),
	}, time.Now())
	if refused == nil {
		return started, nil
	}
	// Proof: nothing was handed to the server yet.
	refusal := verdict.Refuse(verdict.ReasonOverloaded, refused.RetryAfter)
	refusal.Cause = eris.Errorf("calls of the route's runs are refused by %s", refused.Service)
	return nil, refusal
}

// endBudgeted records the end of a run. A request that the server did not run is no run
// without calls: many of them would make calls look dispensable for the class.
func endBudgeted(r *callbudget.Run, answer *serverconn.Answer, err error) {
	notRun := err != nil && verdict.FromError(err).Verdict == verdict.NotRun
	if notRun || answer != nil && answer.ServerResponse.NotExecuted {
		r.Withdraw(time.Now())
		return
	}
	r.End(time.Now())
}

// recordCall records the outcome of a nested call; refusal is nil if it was answered.
func (d *Dispatcher) recordCall(parent *run, r *contract.Request, refusal *verdict.Error) {
	if parent == nil || refusal != nil && refusal.Reason == verdict.ReasonCanceled {
		return
	}
	call := callbudget.Call{Service: r.Service, Late: refusal == nil && time.Now().After(r.Objective)}
	if refusal != nil {
		call.Refused, call.RetryAfter = lacksCapacity(refusal), refusal.RetryAfter
		call.ByServer = refusal.Reason == verdict.ReasonServerRefused
	}
	lowered, ok := parent.budget.RecordCall(call, time.Now())
	if ok {
		d.logger.Info().Str("part", "gate").Str("request", r.ID).Str("called", r.Service).
			Float64("runs_per_second", lowered.RunsPerSecond).Float64("refused", lowered.RefusedShare).
			Float64("calls_per_run", lowered.CallsPerRun).
			Str("reason", refusal.Reason.String()).Msg("runs limited, their calls are refused")
	}
}

// lacksCapacity reports whether a call failed because the called service could not serve it
// now, rather than because of the call itself.
func lacksCapacity(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonCold, verdict.ReasonDeadline, verdict.ReasonUnreachable,
		verdict.ReasonLacksResource, verdict.ReasonLeaving, verdict.ReasonServerRefused:
		return true
	default:
		return false
	}
}

func registerCallBudget(m *telemetry.Metrics, b *callbudget.Budget) {
	total := func(read func(callbudget.Totals) float64) func() float64 {
		return func() float64 { return read(b.Totals(time.Now())) }
	}
	m.Counter("runs_total", "Runs of the server beside this node that ended.", total(func(t callbudget.Totals) float64 { return float64(t.Runs) }))
	m.Counter("runs_calling_total", "Runs that made a nested call.", total(func(t callbudget.Totals) float64 { return float64(t.Calling) }))
	m.Counter("runs_call_refused_total", "Runs with a nested call that was refused or not answered in time.", total(func(t callbudget.Totals) float64 { return float64(t.CallRefused) }))
	m.Counter("runs_not_started_total", "Runs that were refused because calls of their route are being refused.", total(func(t callbudget.Totals) float64 { return float64(t.NotStarted) }))
	m.Gauge("runs_limited_classes", "Routes and ranks whose runs are limited because their calls are being refused.", total(func(t callbudget.Totals) float64 { return float64(t.Limited) }))
}
