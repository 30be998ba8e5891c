package sidecar

import (
	"context"
	"time"
)

// hedgeDelayShare is the share of the time until the objective after which an
// idempotent request without an answer is hedged.
const hedgeDelayShare = 0.6

// hedge sends the request to a second server while the first has not answered.
func (t *task) hedge(ctx context.Context) {
	if t.running != 1 || !t.takeRetry() {
		return
	}
	t.request.Hedge = true
	started := t.startAttempt(ctx) == nil
	t.request.Hedge = false
	if !started {
		t.dispatcher.retryBudgetFor(t.request.Service).Refund()
		return
	}
	t.dispatcher.logger.Debug().Str("part", "entry").Str("request", t.request.ID).Msg("hedged request sent")
}

func (t *task) hedgeTimer() *time.Timer {
	if !t.request.Idempotent {
		return time.NewTimer(time.Hour) // stopped before it fires
	}
	remaining := time.Until(t.request.Objective)
	if remaining <= 0 {
		remaining = t.remaining() // the objective had passed when the request arrived
	}
	return time.NewTimer(time.Duration(hedgeDelayShare * float64(remaining)))
}
