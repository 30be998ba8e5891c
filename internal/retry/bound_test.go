package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragefall/internal/verdict"
)

// TestBudgetIsNotExceededInAnyWindow draws requests and retries in any order. Between
// any two points, the tokens withdrawn stay within burst + percent/100 × requests.
func TestBudgetIsNotExceededInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent, burst := rapid.IntRange(1, 100).Draw(t, "percent"), rapid.IntRange(1, 20).Draw(t, "burst")
		b := NewBudget(percent, burst)
		excess, lowest := 0, 0 // hundredths withdrawn beyond the deposits so far, and the minimum of that sum
		for _, take := range rapid.SliceOfN(rapid.Bool(), 1, 300).Draw(t, "takes") {
			if !take {
				b.Deposit()
				excess -= percent
			} else if b.TryWithdraw() {
				excess += tokenUnit
			}
			lowest = min(lowest, excess)
			if excess-lowest > burst*tokenUnit {
				t.Fatalf("a window exceeded the budget by %d hundredths of a token", excess-lowest-burst*tokenUnit)
			}
		}
	})
}

// serviceChain is a chain of services in which each calls the next.
type serviceChain struct {
	policy      *Policy
	nextFailure func() *verdict.Error // returns the failure of an attempt at any layer
	depth       int
	retries     int
	propagates  bool // whether layers return the errors of later layers unchanged
	sends       int
	ran         int // requests that reached the last layer
}

// call serves one request at a layer. Every attempt fails.
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
		return failure // refused on arrival: the next layer was not called
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

// TestNestedRetriesDoNotMultiply guards against retries that multiply over nested hops.
// Each of up to 22 nested layers fails every attempt in a random way, with budgets too
// large to limit anything. With R retries, the last layer runs at most 1+R×depth requests,
// and at most 1+R when layers return the errors of later layers unchanged. Reroutes, up to M
// at each layer, don't add to that bound, since a refused attempt ran nowhere. All layers
// together send at most depth×(1+M) times as many requests as that bound.
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
			t.Fatalf("the last of %d layers ran %d requests, want at most %d", l.depth, l.ran, maxRuns)
		}
		if bound := maxRuns * l.depth * (1 + defaultMaxReroutes); l.sends > bound {
			t.Fatalf("%d sends, want at most %d", l.sends, bound)
		}
	})
}

// TestRetryStormStaysWithinTheBudgets fails every attempt of many requests and bounds the
// retries and reroutes by the budgets.
func TestRetryStormStaysWithinTheBudgets(t *testing.T) {
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
			t.Fatalf("%d retries, want at most %d", decisions[Retry], bound)
		}
		if bound := defaultRerouteBurst + requests; decisions[Reroute] > bound {
			t.Fatalf("%d reroutes, want at most %d", decisions[Reroute], bound)
		}
	})
}

// TestErrorIsNotRunOnlyIfNoAttemptMayHaveRun checks the verdict that callers rely on over
// any series of failures.
func TestErrorIsNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
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
				t.Fatal("the final verdict is not-run although an attempt may have run")
			}
			return
		}
	})
}

func TestLaterDepositsRepayChargedTokens(t *testing.T) {
	const percent, burst = 10, 2
	b := NewBudget(percent, burst)
	for range 10 * burst {
		b.Charge()
	}
	deposits := 0
	for ; !b.TryWithdraw(); deposits++ {
		b.Deposit()
	}
	// From a balance of minus the capacity to one token.
	if want := (burst + 1) * tokenUnit / percent; deposits != want {
		t.Fatalf("a token was available after %d requests, want %d", deposits, want)
	}
}

func TestRefundReturnsOneToken(t *testing.T) {
	b := NewBudget(10, 2)
	b.Refund() // no effect on a full bucket
	for range 2 {
		if !b.TryWithdraw() {
			t.Fatal("the bucket was not full")
		}
	}
	b.Refund()
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Fatal("a refund did not return exactly one token")
	}
}
