package join

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/verdict"
)

// TestMain fixes the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestJoin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "join")
}

const linger = 20 * time.Millisecond

// plan is how the work of one key behaves.
type plan struct {
	lasts      time.Duration
	shared     bool
	idempotent bool
}

// request is one caller's request.
type request struct {
	key      int
	arrives  time.Duration
	patience time.Duration
	value    string
	err      error
	ended    time.Duration
}

// scenario plays the requests in virtual time and records what happened.
type scenario struct {
	mu        sync.Mutex
	works     []plan
	requests  []request
	running   map[int]int // runs in progress by key
	most      map[int]int // the most at once
	canceled  []int       // keys whose work saw its context end
	unshared  []string    // answers for one waiter each
	discarded []string
}

func (f *scenario) work(key, serial int) func(context.Context) (Answer[string], error) {
	return func(ctx context.Context) (Answer[string], error) {
		f.mu.Lock()
		f.running[key]++
		f.most[key] = max(f.most[key], f.running[key])
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.running[key]--
		}()
		select {
		case <-time.After(f.works[key].lasts):
			value := fmt.Sprintf("%d:%d", key, serial)
			if !f.works[key].shared {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.unshared = append(f.unshared, value)
			}
			return Answer[string]{value, f.works[key].shared}, nil
		case <-ctx.Done():
			f.mu.Lock()
			defer f.mu.Unlock()
			f.canceled = append(f.canceled, key)
			return Answer[string]{}, ctx.Err()
		}
	}
}

func (f *scenario) play() {
	g := NewGroup[int, string](Config[string]{Linger: linger, Discard: func(v string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.discarded = append(f.discarded, v)
	}})
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range f.requests {
		v := &f.requests[i]
		wg.Go(func() {
			time.Sleep(v.arrives)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			defer time.AfterFunc(v.patience, cancel).Stop()
			v.value, v.err = g.Do(ctx, Call[int, string]{v.key, f.works[v.key].idempotent, f.work(v.key, i)})
			v.ended = time.Since(begin)
		})
	}
	wg.Wait()
	time.Sleep(time.Hour) // lets what lingers end
}

// broken returns the first promise that a played scenario broke.
func (f *scenario) broken() string {
	given := map[string]int{}
	for i, v := range f.requests {
		p := f.works[v.key]
		left := verdict.Of(v.err) != nil && verdict.Of(v.err).Reason == verdict.ReasonCanceled
		switch {
		case v.err == nil && !strings.HasPrefix(v.value, fmt.Sprint(v.key, ":")):
			return fmt.Sprintf("request %d of key %d got %q", i, v.key, v.value)
		case left && v.ended < v.arrives+v.patience:
			return fmt.Sprintf("request %d was cut off", i)
		case v.err != nil && !left && (p.shared || !errors.Is(v.err, ErrNotShared)):
			return fmt.Sprintf("request %d failed: %v", i, v.err)
		case v.ended > v.arrives+min(v.patience, p.lasts):
			return fmt.Sprintf("request %d ended late", i)
		case v.err == nil:
			given[v.value]++
		}
	}
	for _, value := range f.discarded {
		given[value]++
	}
	for _, value := range f.unshared {
		if given[value] != 1 {
			return fmt.Sprintf("unshared %q was given or discarded %d times", value, given[value])
		}
	}
	for key, p := range f.works {
		if !p.idempotent && (f.most[key] > 1 || slices.Contains(f.canceled, key)) {
			return fmt.Sprintf("key %d ran twice at once or was cancelled", key)
		}
	}
	return ""
}

func TestEachWaiterGetsOneWholeAnswerOfItsOwnKey(t *testing.T) {
	ms := func(r *rapid.T, most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(r, label)) * time.Millisecond
	}
	rapid.Check(t, func(r *rapid.T) {
		f := &scenario{running: map[int]int{}, most: map[int]int{}}
		for range 3 {
			f.works = append(f.works, plan{ms(r, 30, "lasts"), rapid.Bool().Draw(r, "shared"), rapid.Bool().Draw(r, "idempotent")})
		}
		for range rapid.IntRange(1, 12).Draw(r, "requests") {
			f.requests = append(f.requests, request{
				key: rapid.IntRange(0, 2).Draw(r, "key"), arrives: ms(r, 30, "arrives"),
				patience: ms(r, 40, "patience"),
			})
		}
		synctest.Test(t, func(*testing.T) { f.play() })
		if what := f.broken(); what != "" {
			r.Fatal(what)
		}
	})
}

// lastLeaves counts the cancelled runs after the only waiter gave up and, when
// again is positive, sent the same request that much later.
func lastLeaves(t *testing.T, idempotent bool, again time.Duration) *scenario {
	f := &scenario{
		running: map[int]int{}, most: map[int]int{},
		works:    []plan{{100 * time.Millisecond, true, idempotent}},
		requests: []request{{arrives: 0, patience: 5 * time.Millisecond}},
	}
	if again > 0 {
		f.requests = append(f.requests, request{arrives: 5*time.Millisecond + again, patience: time.Second})
	}
	synctest.Test(t, func(*testing.T) { f.play() })
	return f
}

func TestLastWaiterLeavesAnIdempotentRequest(t *testing.T) {
	NewWithT(t).Expect(lastLeaves(t, true, 0).canceled).To(HaveLen(1))
}

func TestLastWaiterLeavesAKeyedRequest(t *testing.T) {
	NewWithT(t).Expect(lastLeaves(t, false, 0).canceled).To(BeEmpty())
}

func TestCallerGivesUpAndSendsAgain(t *testing.T) {
	f := lastLeaves(t, true, linger/2)
	NewWithT(t).Expect(f.canceled).To(BeEmpty())
	NewWithT(t).Expect(f.requests[1].value).To(Equal("0:0")) // the first run's answer
}

var _ = It("answers the waiter of work that panics", func(ctx SpecContext) {
	g := NewGroup[int, string](Config[string]{})
	_, err := g.Do(ctx, Call[int, string]{Work: func(context.Context) (Answer[string], error) { panic("x") }})
	Expect(err).To(MatchError(ErrPanicked))
	Expect(g.flights.Load()).To(BeZero())
})

var _ = It("discards an unshared answer whose only waiter leaves as it comes", func(ctx SpecContext) {
	var discarded []string
	g := NewGroup[int, string](Config[string]{Discard: func(v string) { discarded = append(discarded, v) }})
	f, _ := newFlight[string](ctx)
	f.waiters, f.finished, f.answer.Value = 1, true, "a"
	_, err := g.leave(ctx, &g.shards[0], f, Call[int, string]{})
	Expect(err).To(HaveOccurred())
	Expect(discarded).To(Equal([]string{"a"}))
})

func TestTooManyWaitersAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup[int, string](Config[string]{MaxWaiters: 1})
		slow := Call[int, string]{Work: func(context.Context) (Answer[string], error) {
			time.Sleep(time.Second)
			return Answer[string]{"a", true}, nil
		}}
		go g.Do(t.Context(), slow)
		synctest.Wait()
		_, err := g.Do(t.Context(), slow)
		NewWithT(t).Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
		NewWithT(t).Expect(verdict.Of(err).RetryAfter).To(BeNumerically(">", 0))
		time.Sleep(2 * time.Second)
	})
}
