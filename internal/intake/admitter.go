// Package intake admits callers' requests at the entry: a fair share for each
// caller under contention, and bodies taken in within a bound of bytes and time
// before a backend server's slot is used.
//
// A refusal is given at once and says NotRun with a Retry-After; it costs the
// entry one look at a few counters, so a caller that ignores it takes nothing
// from the others.
package intake

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"boragefall/internal/config"
	"boragefall/internal/verdict"
)

// sweepEvery is how often the active weights are summed up anew.
const sweepEvery = time.Second

// percent is the whole of a share given in percent.
const percent = 100

// Admitter shares the entry among callers. Listed callers are found without a
// lock; unlisted ones in a bounded cache, and together they have one share.
type Admitter struct {
	config         Config
	total          atomic.Int64
	rate           rateLimit
	listed         atomic.Pointer[map[string]*account]
	unlisted       *account // all unlisted callers together
	each           *lru.Cache[string, *account]
	activeWeight   atomic.Int64
	activeUnlisted atomic.Int64
	sweptAt        atomic.Int64
	mu             sync.Mutex // serialises SetCallers and sweeps
}

// NewAdmitter returns an admitter that lists no callers.
func NewAdmitter(cfg Config) *Admitter {
	cfg = cfg.withDefaults()
	a := &Admitter{config: cfg, unlisted: newAccount(cfg.UnlistedWeight)}
	a.each, _ = lru.New[string, *account](cfg.MaxUnlisted) // fails only for a size below 1
	a.listed.Store(&map[string]*account{})
	return a
}

// SetCallers replaces the listed callers. Those that stay keep their state.
func (a *Admitter) SetCallers(callers map[string]config.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := *a.listed.Load()
	next := make(map[string]*account, len(callers))
	for name, caller := range callers {
		c := old[name]
		if c == nil {
			c = newAccount(caller.Weight)
		}
		c.weight.Store(int64(max(caller.Weight, 1)))
		next[name] = c
	}
	a.listed.Store(&next)
	a.sweptAt.Store(0)
}

// Admit takes a request of a caller, by the name that it gives itself, or
// refuses it at once with a *verdict.Error.
func (a *Admitter) Admit(caller string, now time.Time) (Ticket, error) {
	nanos := now.UnixNano()
	a.sweep(nanos)
	c, listed := (*a.listed.Load())[caller]
	t := Ticket{admitter: a, account: c, unlisted: !listed}
	if !listed {
		t.account = a.unlistedAccount(caller)
	}
	a.noteActive(t, nanos)
	if !a.reserve(t, nanos) {
		t.Done()
		wait := t.account.retryAfter.refused(now, a.config.RetryAfter, a.config.MaxRetryAfter)
		// NotRun: the request was refused before it was sent anywhere.
		return Ticket{}, verdict.Refuse(verdict.ReasonOverloaded, wait)
	}
	a.noteRate(t, nanos)
	return t, nil
}

func (a *Admitter) unlistedAccount(caller string) *account {
	if c, ok := a.each.Get(caller); ok {
		return c
	}
	c := newAccount(1)
	if previous, ok, _ := a.each.PeekOrAdd(caller, c); ok {
		return previous
	}
	return c
}

// noteActive adds a caller that was idle to the active weights.
func (a *Admitter) noteActive(t Ticket, now int64) {
	idle := t.account.touch(now, a.config.ActiveFor)
	if !t.unlisted {
		if idle {
			a.activeWeight.Add(t.account.weight.Load())
		}
		return
	}
	if idle {
		a.activeUnlisted.Add(1)
	}
	if a.unlisted.touch(now, a.config.ActiveFor) {
		a.activeWeight.Add(a.unlisted.weight.Load())
	}
}

// reserve counts the request and reports whether it may stay. Counting first
// keeps the bounds strict for requests that arrive together.
func (a *Admitter) reserve(t Ticket, now int64) bool {
	total := a.total.Add(1)
	mine := t.account.inFlight.Add(1)
	together := int64(0)
	if t.unlisted {
		together = a.unlisted.inFlight.Add(1)
	}
	slots := int64(a.config.Slots)
	if total > slots {
		return false
	}
	whole := max(a.activeWeight.Load(), 1)
	if total*percent > slots*int64(a.config.FreePercent) && !a.withinSlots(t, mine, together, whole) {
		return false
	}
	return !a.rate.ahead(now, a.config.Burst) || a.withinRate(t, now)
}

// withinSlots reports whether the caller keeps its share of the slots.
func (a *Admitter) withinSlots(t Ticket, mine, together, whole int64) bool {
	slots := int64(a.config.Slots)
	if !t.unlisted {
		return mine <= max(slots*t.account.weight.Load()/whole, 1)
	}
	share := max(slots*a.unlisted.weight.Load()/whole, 1)
	return together <= share && mine <= max(share/max(a.activeUnlisted.Load(), 1), 1)
}

// withinRate reports whether the caller keeps its share of the rate.
func (a *Admitter) withinRate(t Ticket, now int64) bool {
	if t.account.rate.ahead(now, a.config.Burst) {
		return false
	}
	return !t.unlisted || !a.unlisted.rate.ahead(now, a.config.Burst)
}

// noteRate counts an admitted request towards the rates. The whole runs at
// FreePercent of the rate, so that shares start to count before it is used up.
func (a *Admitter) noteRate(t Ticket, now int64) {
	rate, burst := int64(a.config.Rate), a.config.Burst
	whole := max(a.activeWeight.Load(), 1)
	a.rate.note(now, interval(rate*int64(a.config.FreePercent), 1, percent), burst)
	if !t.unlisted {
		t.account.rate.note(now, interval(rate, t.account.weight.Load(), whole), burst)
		return
	}
	together := interval(rate, a.unlisted.weight.Load(), whole)
	a.unlisted.rate.note(now, together, burst)
	t.account.rate.note(now, together*time.Duration(max(a.activeUnlisted.Load(), 1)), burst)
}

// sweep sums up the weights of the active callers once in a while, by whoever
// comes first.
func (a *Admitter) sweep(now int64) {
	if now-a.sweptAt.Load() < int64(sweepEvery) || !a.mu.TryLock() {
		return
	}
	defer a.mu.Unlock()
	a.sweptAt.Store(now)
	weight, unlisted := int64(0), int64(0)
	for _, c := range *a.listed.Load() {
		if c.active(now, a.config.ActiveFor) {
			weight += c.weight.Load()
		}
	}
	for _, c := range a.each.Values() {
		if c.active(now, a.config.ActiveFor) {
			unlisted++
		}
	}
	if a.unlisted.active(now, a.config.ActiveFor) {
		weight += a.unlisted.weight.Load()
	}
	a.activeWeight.Store(weight)
	a.activeUnlisted.Store(unlisted)
}
