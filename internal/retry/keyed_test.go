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

// TestKeyedRequestLeavesAHostOnlyWhenItIsFenced draws any series of failures.
// The next rank is asked only after a fence, and another view is taken only from
// a gate that answered. The caller is not told that the request did not run
// unless a gate's fence or own word came after every attempt that may have run.
func TestKeyedRequestLeavesAHostOnlyWhenItIsFenced(t *testing.T) {
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
				t.Fatalf("step %d, fences %v, want %v", steps, d.Fenced, fenced)
			}
			switch d.Kind {
			case KeyedStop:
				if mayHaveRun && d.Final.Verdict == verdict.NotRun {
					t.Fatal("said not run")
				}
				return
			case KeyedRetryOwner:
				if ownerRetries++; ownerRetries > 1 {
					t.Fatal("asked again twice")
				}
			case KeyedNextRank, KeyedRefreshView:
				if d.Kind == KeyedNextRank && !failure.Fenced || d.Kind == KeyedRefreshView && (connectionFailed || d.HostListRevision <= view) {
					t.Fatalf("left host %d: %+v after %+v", hostIndex, d, failure)
				}
				view = max(view, d.HostListRevision)
				hostIndex++
			}
		}
	})
}
