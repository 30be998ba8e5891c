package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/verdict"
)

// TestBudgetHoldsInEveryWindow draws requests and retries in any order; between
// any two points the tokens taken stay within the burst and the share.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent, burst := rapid.IntRange(1, 100).Draw(t, "percent"), rapid.IntRange(1, 20).Draw(t, "burst")
		b := NewBudget(percent, burst)
		excess, lowest := 0, 0 // hundredths taken beyond the share so far, and the least such sum
		for _, take := range rapid.SliceOfN(rapid.Bool(), 1, 300).Draw(t, "takes") {
			if !take {
				b.Deposit()
				excess -= percent
			} else if b.TryWithdraw() {
				excess += tokenUnit
			}
			lowest = min(lowest, excess)
			if excess-lowest > burst*tokenUnit {
				t.Fatalf("a window took %d hundredths too many", excess-lowest-burst*tokenUnit)
			}
		}
	})
}

// serviceChain is a chain of services of which each calls the next.
type serviceChain struct {
	policy      *Policy
	nextFailure func() *verdict.Error // how an attempt at any layer fails
	depth       int
	retries     int
	propagates  bool // whether layers hand the errors below on as they are
	sends       int
	ran         int // requests that reached the last layer
}

// call serves one request at a layer; every attempt fails.
func (l *serviceChain) call(layer int, upstream uint32) *verdict.Error {
	plan := l.policy.Start(Request{
		Service: "s", Idempotent: true, MaxRetries: l.retries,
		Deadline: start.Add(time.Minute), IncomingAttempt: upstream, Hops: uint32(layer),
	})
	attempt := upstream
	for {
		d := plan.Next(Attempt{Err: l.attempt(layer, attempt), Now: start})
		if d.Kind == Stop {
			return d.Final
		}
		attempt = d.Attempt
	}
}

func (l *serviceChain) attempt(layer int, attempt uint32) *verdict.Error {
	l.sends++
	failure := l.nextFailure()
	if failure.Verdict == verdict.NotRun {
		return failure // refused at the door: nothing below was called
	}
	if layer+1 == l.depth {
		l.ran++
		return failure
	}
	if below := l.call(layer+1, attempt); l.propagates {
		return below
	}
	return failure
}

// TestNestedRetriesDoNotMultiply lets each of up to 22 nested layers fail every
// attempt, with budgets too large to help, in whatever way rapid picks. With R
// retries and M moves the last layer runs at most 1+R×depth requests, and 1+R
// when errors are handed on.
func TestNestedRetriesDoNotMultiply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &serviceChain{
			policy:     NewPolicy(Config{RetryBurst: 1 << 20, RerouteBurst: 1 << 20}),
			depth:      rapid.IntRange(1, 22).Draw(t, "depth"),
			retries:    rapid.IntRange(0, 5).Draw(t, "retries"),
			propagates: rapid.Bool().Draw(t, "forwards"),
		}
		refusalsInTen := rapid.IntRange(0, 3).Draw(t, "refusals in ten")
		sequence := rapid.IntRange(0, 9).Draw(t, "turn")
		l.nextFailure = func() *verdict.Error {
			sequence = (sequence*7 + 3) % 10
			if sequence < refusalsInTen {
				return verdict.Refuse(verdict.ReasonLeaving, 0)
			}
			return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil)
		}
		l.call(0, 0)
		maxRuns := 1 + l.retries*l.depth
		if l.propagates {
			maxRuns = 1 + l.retries
		}
		if l.ran > maxRuns {
			t.Fatalf("the last of %d layers ran %d requests, bound %d", l.depth, l.ran, maxRuns)
		}
		if bound := maxRuns * l.depth * (1 + defaultMaxReroutes); l.sends > bound {
			t.Fatalf("%d sends, bound %d", l.sends, bound)
		}
	})
}

// TestStormStaysWithinTheBudgets lets every attempt of many requests fail.
func TestStormStaysWithinTheBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.IntRange(1, 2000).Draw(t, "requests")
		policy := NewPolicy(Config{})
		failures := [...]*verdict.Error{
			verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, nil),
			verdict.Refuse(verdict.ReasonCold, 0),
		}
		pick := rapid.SliceOfN(rapid.IntRange(0, 1), 1, 20).Draw(t, "failures")
		var decisions [3]int
		for i := range requests {
			plan := policy.Start(Request{Service: "s", Idempotent: true, MaxRetries: 5, Deadline: start.Add(time.Minute)})
			for n := 0; ; n++ {
				d := plan.Next(Attempt{Err: failures[pick[(i+n)%len(pick)]], Now: start})
				decisions[d.Kind]++
				if d.Kind == Stop {
					break
				}
			}
		}
		if bound := defaultRetryBurst + requests/10; decisions[Retry] > bound {
			t.Fatalf("%d retries, bound %d", decisions[Retry], bound)
		}
		if bound := defaultRerouteBurst + requests; decisions[Reroute] > bound {
			t.Fatalf("%d moves, bound %d", decisions[Reroute], bound)
		}
	})
}

// TestAnErrorSaysNotRunOnlyIfNoAttemptRan keeps the promise to callers over any
// series of failures.
func TestAnErrorSaysNotRunOnlyIfNoAttemptRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := NewPolicy(Config{}).Start(Request{
			Service: "s", Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxRetries: 5, Deadline: start.Add(time.Minute),
		})
		mayHaveRun := false
		for {
			v := verdict.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
			mayHaveRun = mayHaveRun || v != verdict.NotRun
			r := verdict.Reason(rapid.IntRange(1, int(verdict.ReasonRetryBudget)).Draw(t, "reason"))
			d := plan.Next(Attempt{Err: verdict.New(v, r, nil), Now: start})
			if d.Kind != Stop {
				continue
			}
			if mayHaveRun && d.Final.Verdict == verdict.NotRun {
				t.Fatal("said not run")
			}
			return
		}
	})
}

func TestWhatIsChargedIsMadeUpForByLaterRequests(t *testing.T) {
	const percent, burst = 10, 2
	b := NewBudget(percent, burst)
	for range 10 * burst {
		b.Charge()
	}
	deposits := 0
	for ; !b.TryWithdraw(); deposits++ {
		b.Deposit()
	}
	// Back from owing a full bucket to one token.
	if want := (burst + 1) * tokenUnit / percent; deposits != want {
		t.Fatalf("a token after %d requests, expected %d", deposits, want)
	}
}

func TestARefundIsOneToken(t *testing.T) {
	b := NewBudget(10, 2)
	b.Refund() // a full bucket holds no more
	for range 2 {
		if !b.TryWithdraw() {
			t.Fatal("the bucket was not full")
		}
	}
	b.Refund()
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Fatal("a refund is not one token")
	}
}
