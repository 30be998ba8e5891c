package intake

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/config"
	"boragefall/internal/verdict"
)

var start = time.Unix(1_800_000_000, 0)

// event is an action at a point in virtual time.
type event struct {
	at time.Time
	do func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation runs an Admitter in virtual time, with callers that send at random.
type simulation struct {
	admitter       *Admitter
	random         *rand.Rand
	serviceTime    time.Duration
	now            time.Time
	events         eventQueue
	sent, admitted map[string]int
}

func (e *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&e.events, event{e.now.Add(d), do})
}

func (e *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(e.random.ExpFloat64() * float64(mean))
}

// send sends one request. A caller with a resendDelay sends a refused request again after
// that delay, without limit.
func (e *simulation) send(caller string, resendDelay time.Duration) {
	e.sent[caller]++
	ticket, err := e.admitter.Admit(caller, e.now)
	if err == nil {
		e.admitted[caller]++
		e.schedule(e.exponential(e.serviceTime), ticket.Done)
	} else if resendDelay > 0 {
		e.schedule(resendDelay, func() { e.send(caller, resendDelay) })
	}
}

func (e *simulation) startArrivals(caller func() string, meanGap, resendDelay time.Duration) {
	e.schedule(e.exponential(meanGap), func() {
		e.send(caller(), resendDelay)
		e.startArrivals(caller, meanGap, resendDelay)
	})
}

func (e *simulation) run(d time.Duration) {
	end := e.now.Add(d)
	for len(e.events) > 0 {
		next := heap.Pop(&e.events).(event)
		if next.at.After(end) {
			return
		}
		e.now = next.at
		next.do()
	}
}

// TestRequestStormOfOneCallerDoesNotAffectOthers lets one caller, listed, unlisted or under
// a new name for each request, send ten times as much as each other caller and send its
// refused requests again almost at once. The other callers must not lose their share.
func TestRequestStormOfOneCallerDoesNotAffectOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := rapid.IntRange(2, 8).Draw(t, "others")
		slots := 30 * (others + 1)
		e := &simulation{
			random:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			serviceTime: time.Duration(rapid.IntRange(5, 100).Draw(t, "service")) * time.Millisecond,
			now:         start, sent: map[string]int{}, admitted: map[string]int{},
		}
		capacity := slots * int(time.Second/e.serviceTime)
		rateThirds := rapid.IntRange(2, 4).Draw(t, "rate") // at 2/3 the rate is the limit, not the slots
		e.admitter = NewAdmitter(Config{Slots: slots, Rate: capacity * rateThirds / 3, Burst: e.serviceTime})
		listed := map[string]config.Caller{}
		meanGap := e.serviceTime / 12 // two fifths of a caller's share
		for i := range others {
			name := fmt.Sprint("other", i)
			listed[name] = config.Caller{Weight: 1}
			e.startArrivals(func() string { return name }, meanGap, 0)
		}
		stormCaller := func() string { return "storm" }
		switch rapid.IntRange(0, 2).Draw(t, "storm") {
		case 0:
			listed["storm"] = config.Caller{Weight: 1}
		case 1:
			stormCaller = func() string { return fmt.Sprint("storm", e.random.Uint64()) }
		}
		e.admitter.SetCallers(listed)
		e.startArrivals(stormCaller, meanGap/10, max(6*time.Millisecond, e.serviceTime/3))
		e.run(10 * e.serviceTime)
		for i := range others {
			name := fmt.Sprint("other", i)
			if e.admitted[name]*100 < e.sent[name]*95 {
				t.Fatalf("%s: %d of %d admitted", name, e.admitted[name], e.sent[name])
			}
		}
	})
}

// TestAdmissionFollowsWeightsUnderContention overloads the Admitter with two callers of
// different weight that send alike.
func TestAdmissionFollowsWeightsUnderContention(t *testing.T) {
	g := NewWithT(t)
	e := &simulation{
		admitter: NewAdmitter(Config{Slots: 120, Rate: 1 << 20}), random: rand.New(rand.NewPCG(1, 2)),
		serviceTime: 50 * time.Millisecond, now: start, sent: map[string]int{}, admitted: map[string]int{},
	}
	e.admitter.SetCallers(map[string]config.Caller{"light": {Weight: 1}, "heavy": {Weight: 3}})
	for _, name := range []string{"light", "heavy"} {
		e.startArrivals(func() string { return name }, 500*time.Microsecond, 20*time.Millisecond)
	}
	e.run(time.Second)
	g.Expect(float64(e.admitted["heavy"]) / float64(e.admitted["light"])).To(BeNumerically("~", 3, 0.3))
}

// TestRequestStormStaysWithinTheRate ends each request at once, so that only the rate
// limits. The requests come from one listed caller, then from a new name each.
func TestRequestStormStaysWithinTheRate(t *testing.T) {
	a := NewAdmitter(Config{Rate: 1000})
	a.SetCallers(map[string]config.Caller{"storm": {}})
	for round, name := range []func(int) string{
		func(int) string { return "storm" },
		func(i int) string { return fmt.Sprint(i) },
	} {
		admitted := 0
		for i := range 10_000 { // over 2 s
			at := start.Add(time.Duration(round)*time.Minute + time.Duration(i)*200*time.Microsecond)
			if ticket, err := a.Admit(name(i), at); err == nil {
				admitted++
				ticket.Done()
			}
		}
		// Two seconds at the rate, plus one burst in total and one of the caller.
		NewWithT(t).Expect(admitted).To(BeNumerically("<=", 2500))
		NewWithT(t).Expect(admitted).To(BeNumerically(">=", 2000))
	}
}

// TestSlotsAreNeverExceeded admits and ends requests at random and checks the counters.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmitter(Config{Slots: 5, MaxUnlisted: 2, UncontendedPercent: 100})
		a.SetCallers(map[string]config.Caller{"a": {}})
		var permits []Permit
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(permits) > 0 && rapid.Bool().Draw(t, "end") {
				permits[0].Done()
				permits = permits[1:]
				continue
			}
			caller := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller")
			if permit, err := a.Admit(caller, start.Add(time.Duration(i)*time.Second)); err == nil {
				permits = append(permits, permit)
			} else if verdict.FromError(err).Verdict != verdict.NotRun || verdict.FromError(err).RetryAfter <= 0 {
				t.Fatalf("refusal is %v, want not-run with a Retry-After", err)
			}
			if len(permits) > 5 || a.inFlight.Load() != int64(len(permits)) {
				t.Fatalf("%d permits held, %d requests counted", len(permits), a.inFlight.Load())
			}
		}
	})
}

func TestConcurrentRequestsStayWithinTheSlots(t *testing.T) {
	a := NewAdmitter(Config{Slots: 3, MaxUnlisted: 1, Rate: 1 << 30})
	a.SetCallers(map[string]config.Caller{"a": {}})
	var held atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 500 {
				permit, err := a.Admit([]string{"a", "b", "c"}[(i+n)%3], start.Add(time.Duration(n)*time.Millisecond))
				if err != nil {
					continue
				}
				if held.Add(1) > 3 {
					t.Error("more than 3 requests were in flight at once")
				}
				held.Add(-1)
				permit.Done()
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(a.inFlight.Load() + a.unlisted.inFlight.Load()).To(BeZero())
}

var _ = It("increases Retry-After for a caller that ignores it", func() {
	p := &retryAfterBackoff{}
	refused := func(at time.Duration) time.Duration {
		return p.onRefusal(start.Add(at), time.Second, 4*time.Second)
	}
	Expect(refused(0)).To(Equal(time.Second))
	Expect(refused(50 * time.Millisecond)).To(Equal(time.Second)) // within refusalGrace: may have been in flight
	Expect(refused(1100 * time.Millisecond)).To(Equal(time.Second))
	Expect(refused(1500 * time.Millisecond)).To(Equal(time.Second)) // too early, so the delay doubles next time
	Expect(refused(2200 * time.Millisecond)).To(Equal(2 * time.Second))
	Expect(refused(3 * time.Second)).To(Equal(2 * time.Second))
	Expect(refused(4300 * time.Millisecond)).To(Equal(4 * time.Second))
	Expect(refused(5 * time.Second)).To(Equal(4 * time.Second))
	Expect(refused(9 * time.Second)).To(Equal(4 * time.Second)) // the maximum
	Expect(refused(time.Minute)).To(Equal(time.Second))
})

var _ = It("does not reduce a caller's later share for its use of spare capacity", func() {
	var r rateLimit
	for range 1000 {
		r.record(0, time.Second, time.Second)
	}
	Expect(r.exceedsBurst(0, time.Second)).To(BeTrue())
	Expect(r.exceedsBurst(int64(time.Second), time.Second)).To(BeFalse())
})

func BenchmarkAdmit(b *testing.B) {
	for name, slots := range map[string]int{"listed": 1024, "unlisted": 1024, "refused": 1} {
		a := NewAdmitter(Config{Rate: 1 << 30, Slots: slots})
		a.SetCallers(map[string]config.Caller{"listed": {Weight: 1}, "refused": {Weight: 1}})
		if slots == 1 {
			_, _ = a.Admit("listed", time.Now())
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if ticket, err := a.Admit(name, time.Now()); err == nil {
						ticket.Done()
					}
				}
			})
		})
	}
}
