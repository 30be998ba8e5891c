package retry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// TestKeyedRequestLeavesHostOnlyAfterFenceOrNewerHostList draws any series of failures.
// The next ranked host is tried only after a fence, and the host list is refreshed only
// when a gate answered with a newer revision. The final verdict is NotRun only if a fence
// or a NotRun answer of a gate followed every attempt that may have run.
func TestKeyedRequestLeavesHostOnlyAfterFenceOrNewerHostList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := NewPolicy(Config{}).Start(Request{Service: "s", MaxRetries: 2, Deadline: start.Add(time.Minute)})
		hostIndex, ownerRetries, view, mayHaveRun := 0, 0, uint64(5), false
		var fenced []host.ID
		for steps := 0; ; steps++ {
			failure := &verdict.Error{
				Verdict: verdict.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
				Reason: rapid.SampledFrom([]verdict.Reason{
					verdict.ReasonUnreachable, verdict.ReasonConnectionLost, verdict.ReasonNotOwner, verdict.ReasonFenced,
					verdict.ReasonNoLease, verdict.ReasonUnknownKey, verdict.ReasonOverloaded, verdict.ReasonRetryBudget,
				}).Draw(t, "reason"),
				Fenced:           rapid.Bool().Draw(t, "fenced"),
				HostListRevision: uint64(rapid.IntRange(0, 9).Draw(t, "view")),
			}
			id := host.ID(fmt.Sprint(hostIndex))
			d := plan.KeyedNext(KeyedAttempt{Attempt: Attempt{Err: failure, Now: start}, Host: id, HostListRevision: view, RankedHosts: 3})
			connectionFailed := failure.Reason == verdict.ReasonUnreachable || failure.Reason == verdict.ReasonConnectionLost
			if failure.Fenced {
				fenced = append(fenced, id)
			}
			mayHaveRun = !failure.Fenced && (connectionFailed || failure.Verdict != verdict.NotRun)
			if !slices.Equal(d.Fenced, fenced) || steps > 6 {
				t.Fatalf("step %d: fences are %v, want %v", steps, d.Fenced, fenced)
			}
			switch d.Kind {
			case KeyedStop:
				if mayHaveRun && d.Final.Verdict == verdict.NotRun {
					t.Fatal("the final verdict is not-run although an attempt may have run")
				}
				return
			case KeyedRetryOwner:
				if ownerRetries++; ownerRetries > 1 {
					t.Fatal("the request was sent to its owner again more than once")
				}
			case KeyedNextRank, KeyedRefreshView:
				if d.Kind == KeyedNextRank && !failure.Fenced || d.Kind == KeyedRefreshView && (connectionFailed || d.HostListRevision <= view) {
					t.Fatalf("the request left host %d without a fence or newer host list: %+v after %+v", hostIndex, d, failure)
				}
				view = max(view, d.HostListRevision)
				hostIndex++
			}
		}
	})
}
