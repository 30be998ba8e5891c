package sidecar

import (
	"context"
	"time"
)

// hedgeDelayShare is the part of the time until the objective after which a second
// server is asked for an idempotent request that got no answer.
const hedgeDelayShare = 0.6

// hedge asks a second server while the first is silent.
func (t *task) hedge(ctx context.Context) {
	if t.running != 1 || !t.takeRetry() {
		return
	}
	t.request.Spare = true
	started := t.startAttempt(ctx) == nil
	t.request.Spare = false
	if !started {
		t.dispatcher.retryBudgetFor(t.request.Service).Refund()
		return
	}
	t.dispatcher.logger.Debug().Str("part", "entry").Str("request", t.request.ID).Msg("second server asked")
}

func (t *task) hedgeTimer() *time.Timer {
	if !t.request.Idempotent {
		return time.NewTimer(time.Hour) // stopped before it fires
	}
	remaining := time.Until(t.request.Objective)
	if remaining <= 0 {
		remaining = t.remaining() // its caller came too late for the objective
	}
	return time.NewTimer(time.Duration(hedgeDelayShare * float64(remaining)))
}
