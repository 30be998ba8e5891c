package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/idempotency"
	"boragefall/internal/ledger"
	"boragefall/internal/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

const (
	horizon = 10 * time.Minute
	window  = 20 * time.Second
)

var boot = time.Unix(1_700_000_000, 0)

func request(value string, at time.Time) ledger.Request {
	return ledger.Request{
		Key:          idempotency.Key{Value: value, Time: at},
		ScopedKey:    value,
		Digest:       [32]byte{1},
		ResendWindow: window,
	}
}

var _ = Describe("Ledger", func() {
	var l *ledger.Ledger
	now := boot.Add(time.Hour)
	answer := &ledger.Answer{Status: 201, Body: []byte("done")}

	BeforeEach(func() {
		l = ledger.New(ledger.Config{MaxEntries: 2, MaxAnswerBytes: 8, MaxBytes: 10}, boot)
	})

	It("joins a key in flight and replays its answer", func() {
		first := l.Begin(request("k", now), now)
		Expect(first.Kind).To(Equal(ledger.Run))
		second := l.Begin(request("k", now), now)
		Expect(second.Kind).To(Equal(ledger.Join))
		Expect(second.Entry.Done()).NotTo(BeClosed())
		first.Entry.Finish(ledger.OutcomeRan, answer, now)
		first.Entry.Finish(ledger.OutcomeNotRun, nil, now) // too late to count
		Expect(second.Entry.Done()).To(BeClosed())
		Expect(second.Entry.Result().Answer).To(Equal(answer))
		Expect(l.Begin(request("k", now), now.Add(horizon)).Kind).To(Equal(ledger.Replay))
	})

	DescribeTable("tells those that joined what the run's end proves",
		func(outcome ledger.Outcome, want verdict.Verdict, forgotten bool) {
			first := l.Begin(request("k", now), now)
			joined := l.Begin(request("k", now), now)
			first.Entry.Finish(outcome, nil, now)
			Expect(joined.Entry.Result().Refusal.Verdict).To(Equal(want))
			Expect(l.Begin(request("k", now), now).Kind == ledger.Run).To(Equal(forgotten))
		},
		Entry("not run", ledger.OutcomeNotRun, verdict.NotRun, true),
		Entry("ownership lost", ledger.OutcomeOwnershipLost, verdict.MayHaveRun, true),
		Entry("fenced", ledger.OutcomeFenced, verdict.MayHaveRun, false),
		Entry("unknown", ledger.OutcomeMayHaveRun, verdict.MayHaveRun, false),
		Entry("ran without an answer", ledger.OutcomeRan, verdict.Ran, false),
	)

	It("refuses the same key with another body", func() {
		l.Begin(request("k", now), now)
		other := request("k", now)
		other.Digest[0]++
		Expect(l.Begin(other, now).Kind).To(Equal(ledger.Conflict))
	})

	It("answers from the ledger without ownership, and refuses new keys", func() {
		l.Begin(request("k", now), now).Entry.Finish(ledger.OutcomeRan, answer, now)
		known, fresh := request("k", now), request("new", now)
		lost := verdict.New(verdict.MayHaveRun, verdict.ReasonNoLease, nil)
		known.Ownership, fresh.Ownership = lost, lost
		Expect(l.Begin(known, now).Kind).To(Equal(ledger.Replay))
		Expect(l.Begin(fresh, now).Refusal).To(BeIdenticalTo(lost))
	})

	It("says ran without an answer when the answer is too long for its room", func() {
		for i, want := range []ledger.Kind{ledger.Replay, ledger.RanWithoutAnswer} {
			r := request(fmt.Sprint(i), now)
			l.Begin(r, now).Entry.Finish(ledger.OutcomeRan, &ledger.Answer{Body: make([]byte, 6)}, now)
			Expect(l.Begin(r, now).Kind).To(Equal(want))
		}
		Expect(l.Bytes()).To(Equal(6))
		l.Begin(request("late", now.Add(horizon)), now.Add(horizon+time.Minute))
		Expect(l.Bytes()).To(BeNumerically("<=", 6))
	})

	It("refuses new keys when full and evicts none within the horizon", func() {
		for i := range 2 {
			l.Begin(request(fmt.Sprint(i), now), now).Entry.Finish(ledger.OutcomeRan, answer, now)
		}
		full := l.Begin(request("2", now), now)
		Expect(full.Refusal.Reason).To(Equal(verdict.ReasonLedgerFull))
		Expect(full.Refusal.Verdict).To(Equal(verdict.NotRun))
		Expect(full.Refusal.Fenced).To(BeFalse())
		Expect(l.Fence(request("2", now), now).Fenced).To(BeFalse())
		Expect(l.Begin(request("0", now), now.Add(horizon)).Kind).To(Equal(ledger.Replay))
	})

	It("remembers an untimed refusal even when it is full", func() {
		l = ledger.New(ledger.Config{MaxEntries: 1}, boot)
		l.Begin(request("a", boot.Add(time.Minute)), boot.Add(time.Minute-time.Second))
		l.Begin(request("b", time.Time{}), boot.Add(window-time.Second))
		later := l.Begin(request("b", time.Time{}), boot.Add(window+time.Second))
		Expect(later.Refusal.Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("lets a run that did not reach the server run later, and a fenced one never", func() {
		l.Begin(request("k", now), now).Entry.Finish(ledger.OutcomeNotRun, nil, now)
		again := l.Begin(request("k", now), now)
		Expect(again.Kind).To(Equal(ledger.Run))
		again.Entry.Finish(ledger.OutcomeFenced, nil, now)
		fenced := l.Begin(request("k", now), now.Add(horizon))
		Expect(fenced.Refusal.Fenced).To(BeTrue())
		Expect(fenced.Refusal.Verdict).To(Equal(verdict.MayHaveRun))
	})

	DescribeTable("does not fence what may have run or may look new later",
		func(at, asked time.Time) {
			Expect(l.Fence(request("k", at), asked).Fenced).To(BeFalse())
			Expect(l.Begin(request("k", at), asked).Kind).To(Equal(ledger.Refuse))
		},
		Entry("made before the boot", boot.Add(-time.Second), boot.Add(time.Second)),
		Entry("made within the bounds of the boot", boot.Add(4*time.Second), boot.Add(9*time.Second)),
		Entry("beyond the horizon", boot.Add(time.Minute), boot.Add(time.Minute+horizon+1)),
		Entry("ahead of the clock", boot.Add(time.Hour), boot.Add(time.Hour-3*time.Second)),
		Entry("untimed within the window", time.Time{}, boot.Add(window-1)),
	)

	It("runs a minted key without an entry", func() {
		r := ledger.Request{Key: idempotency.Mint(boot)}
		d := l.Begin(r, boot)
		Expect(d.Kind).To(Equal(ledger.Run))
		d.Entry.Finish(ledger.OutcomeRan, answer, boot)
		Expect(l.Len()).To(BeZero())
	})

	It("runs a key once under many callers at a time", func() {
		var wg sync.WaitGroup
		var mu sync.Mutex
		kinds := make(map[ledger.Kind]int)
		for range 32 {
			wg.Go(func() {
				d := l.Begin(request("k", now), now)
				if d.Kind == ledger.Run {
					d.Entry.Finish(ledger.OutcomeRan, answer, now)
				} else if d.Kind == ledger.Join {
					<-d.Entry.Done()
					d = d.Entry.Result()
				}
				mu.Lock()
				defer mu.Unlock()
				kinds[d.Kind]++
			})
		}
		wg.Wait()
		Expect(kinds).To(Equal(map[ledger.Kind]int{ledger.Run: 1, ledger.Replay: 31}))
	})
})

// TestOneRunAcrossRestartsOfOneGate sends keys to one gate that restarts and
// whose ledger is small. Untimed keys come again within the window.
func TestOneRunAcrossRestartsOfOneGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boot
		cfg := ledger.Config{MaxEntries: rapid.IntRange(1, 4).Draw(t, "max"), Horizon: window}
		l := ledger.New(cfg, now)
		runs := make(map[string]int)
		made := make(map[string]time.Time)
		for range 120 {
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, 0, 3 * time.Second}).Draw(t, "wait"))
			if rapid.IntRange(0, 9).Draw(t, "restart") == 9 {
				l = ledger.New(cfg, now)
			}
			// The untimed key is sent each time, so that no window passes without it.
			values := []string{"untimed", fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key"))}
			for _, value := range values {
				if _, ok := made[value]; !ok && value != "untimed" {
					made[value] = now.Add(time.Duration(rapid.IntRange(-2, 9).Draw(t, "ahead")) * time.Second)
				}
				if d := l.Begin(request(value, made[value]), now); d.Kind == ledger.Run {
					runs[value]++
					d.Entry.Finish(ledger.OutcomeMayHaveRun, nil, now)
				}
				if runs[value] > 1 {
					t.Fatalf("%s ran %d times", value, runs[value])
				}
			}
		}
	})
}

func BenchmarkBegin(b *testing.B) {
	l := ledger.New(ledger.Config{MaxEntries: 1 << 20}, boot)
	now := boot.Add(time.Hour)
	r := request("", now)
	b.ReportAllocs()
	for i := range b.N {
		r.ScopedKey = fmt.Sprint(i % (1 << 19))
		if d := l.Begin(r, now); d.Kind == ledger.Run {
			d.Entry.Finish(ledger.OutcomeRan, nil, now)
		}
	}
}
