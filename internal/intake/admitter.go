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

// refreshInterval is how often the active weights are summed up anew.
const refreshInterval = time.Second

// hundredPercent is the whole of a share given in hundredPercent.
const hundredPercent = 100

// Admitter shares the entry among callers. Listed callers are found without a
// lock; unlisted ones in a bounded cache, and together they have one share.
type Admitter struct {
	config         Config
	inFlight       atomic.Int64
	rate           rateLimit
	listed         atomic.Pointer[map[string]*callerState]
	unlisted       *callerState // all unlisted callers together
	unlistedByName *lru.Cache[string, *callerState]
	activeWeight   atomic.Int64
	activeUnlisted atomic.Int64
	refreshedAt    atomic.Int64
	mu             sync.Mutex // serialises SetCallers and sweeps
}

// NewAdmitter returns an admitter that lists no callers.
func NewAdmitter(cfg Config) *Admitter {
	cfg = cfg.withDefaults()
	a := &Admitter{config: cfg, unlisted: newCallerState(cfg.UnlistedWeight)}
	a.unlistedByName, _ = lru.New[string, *callerState](cfg.MaxUnlisted) // fails only for a size below 1
	a.listed.Store(&map[string]*callerState{})
	return a
}

// SetCallers replaces the listed callers. Those that stay keep their state.
func (a *Admitter) SetCallers(callers map[string]config.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := *a.listed.Load()
	next := make(map[string]*callerState, len(callers))
	for name, caller := range callers {
		c := old[name]
		if c == nil {
			c = newCallerState(caller.Weight)
		}
		c.weight.Store(int64(max(caller.Weight, 1)))
		next[name] = c
	}
	a.listed.Store(&next)
	a.refreshedAt.Store(0)
}

// Admit takes a request of a caller, by the name that it gives itself, or
// refuses it at once with a *verdict.Error.
func (a *Admitter) Admit(caller string, now time.Time) (Permit, error) {
	unixNanos := now.UnixNano()
	a.refreshActiveWeights(unixNanos)
	c, listed := (*a.listed.Load())[caller]
	t := Permit{admitter: a, caller: c, unlisted: !listed}
	if !listed {
		t.caller = a.unlistedCaller(caller)
	}
	a.markActive(t, unixNanos)
	if !a.reserve(t, unixNanos) {
		t.Done()
		wait := t.caller.retryAfter.onRefusal(now, a.config.RetryAfter, a.config.MaxRetryAfter)
		// NotRun: the request was refused before it was sent anywhere.
		return Permit{}, verdict.Refuse(verdict.ReasonOverloaded, wait)
	}
	a.recordRate(t, unixNanos)
	return t, nil
}

func (a *Admitter) unlistedCaller(caller string) *callerState {
	if c, ok := a.unlistedByName.Get(caller); ok {
		return c
	}
	c := newCallerState(1)
	if previous, ok, _ := a.unlistedByName.PeekOrAdd(caller, c); ok {
		return previous
	}
	return c
}

// markActive adds a caller that was idle to the active weights.
func (a *Admitter) markActive(t Permit, now int64) {
	idle := t.caller.markSeen(now, a.config.ActiveWindow)
	if !t.unlisted {
		if idle {
			a.activeWeight.Add(t.caller.weight.Load())
		}
		return
	}
	if idle {
		a.activeUnlisted.Add(1)
	}
	if a.unlisted.markSeen(now, a.config.ActiveWindow) {
		a.activeWeight.Add(a.unlisted.weight.Load())
	}
}

// reserve counts the request and reports whether it may stay. Counting first
// keeps the bounds strict for requests that arrive together.
func (a *Admitter) reserve(t Permit, now int64) bool {
	inFlight := a.inFlight.Add(1)
	callerInFlight := t.caller.inFlight.Add(1)
	unlistedInFlight := int64(0)
	if t.unlisted {
		unlistedInFlight = a.unlisted.inFlight.Add(1)
	}
	slots := int64(a.config.Slots)
	if inFlight > slots {
		return false
	}
	totalWeight := max(a.activeWeight.Load(), 1)
	if inFlight*hundredPercent > slots*int64(a.config.UncontendedPercent) && !a.withinSlotShare(t, callerInFlight, unlistedInFlight, totalWeight) {
		return false
	}
	return !a.rate.exceedsBurst(now, a.config.Burst) || a.withinRateShare(t, now)
}

// withinSlotShare reports whether the caller keeps its share of the slots.
func (a *Admitter) withinSlotShare(t Permit, callerInFlight, unlistedInFlight, totalWeight int64) bool {
	slots := int64(a.config.Slots)
	if !t.unlisted {
		return callerInFlight <= max(slots*t.caller.weight.Load()/totalWeight, 1)
	}
	share := max(slots*a.unlisted.weight.Load()/totalWeight, 1)
	return unlistedInFlight <= share && callerInFlight <= max(share/max(a.activeUnlisted.Load(), 1), 1)
}

// withinRateShare reports whether the caller keeps its share of the rate.
func (a *Admitter) withinRateShare(t Permit, now int64) bool {
	if t.caller.rate.exceedsBurst(now, a.config.Burst) {
		return false
	}
	return !t.unlisted || !a.unlisted.rate.exceedsBurst(now, a.config.Burst)
}

// recordRate counts an admitted request towards the rates. The whole runs at
// FreePercent of the rate, so that shares start to count before it is used up.
func (a *Admitter) recordRate(t Permit, now int64) {
	rate, burst := int64(a.config.Rate), a.config.Burst
	totalWeight := max(a.activeWeight.Load(), 1)
	a.rate.record(now, interval(rate*int64(a.config.UncontendedPercent), 1, hundredPercent), burst)
	if !t.unlisted {
		t.caller.rate.record(now, interval(rate, t.caller.weight.Load(), totalWeight), burst)
		return
	}
	unlistedInterval := interval(rate, a.unlisted.weight.Load(), totalWeight)
	a.unlisted.rate.record(now, unlistedInterval, burst)
	t.caller.rate.record(now, unlistedInterval*time.Duration(max(a.activeUnlisted.Load(), 1)), burst)
}

// refreshActiveWeights sums up the weights of the active callers once in a while, by whoever
// comes first.
func (a *Admitter) refreshActiveWeights(now int64) {
	if now-a.refreshedAt.Load() < int64(refreshInterval) || !a.mu.TryLock() {
		return
	}
	defer a.mu.Unlock()
	a.refreshedAt.Store(now)
	weight, unlisted := int64(0), int64(0)
	for _, c := range *a.listed.Load() {
		if c.active(now, a.config.ActiveWindow) {
			weight += c.weight.Load()
		}
	}
	for _, c := range a.unlistedByName.Values() {
		if c.active(now, a.config.ActiveWindow) {
			unlisted++
		}
	}
	if a.unlisted.active(now, a.config.ActiveWindow) {
		weight += a.unlisted.weight.Load()
	}
	a.activeWeight.Store(weight)
	a.activeUnlisted.Store(unlisted)
}
