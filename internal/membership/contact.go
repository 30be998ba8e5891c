package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
)

// contactState is what this node itself saw of a host. Times are nanoseconds since
// the start of the registry; 0 is never.
type contactState struct {
	lastSuccess atomic.Int64
	lastFailure atomic.Int64 // the last failure that no good contact followed
}

// contactTable holds first-hand knowledge by host. It is safe for concurrent use
// and takes no lock for a host that is known and not suspect.
type contactTable struct {
	start  time.Time
	byHost sync.Map // host.ID -> *contact
}

func (c *contactTable) sinceStart(now time.Time) int64 {
	return max(1, int64(now.Sub(c.start)))
}

func (c *contactTable) getOrCreate(id host.ID) *contactState {
	if state, ok := c.byHost.Load(id); ok {
		return state.(*contactState)
	}
	state, _ := c.byHost.LoadOrStore(id, &contactState{})
	return state.(*contactState)
}

// recordSuccess notes an answer and reports whether it ended a suspicion.
func (c *contactTable) recordSuccess(id host.ID, now time.Time) bool {
	state := c.getOrCreate(id)
	state.lastSuccess.Store(c.sinceStart(now))
	return state.lastFailure.Load() != 0 && state.lastFailure.Swap(0) != 0
}

// recordFailure notes a failure and reports whether it began a suspicion.
func (c *contactTable) recordFailure(id host.ID, now time.Time) bool {
	return c.getOrCreate(id).lastFailure.Swap(c.sinceStart(now)) == 0
}

// isSuspect reports whether the host failed within the last timeout.
func (c *contactTable) isSuspect(id host.ID, now time.Time, timeout time.Duration) bool {
	state, ok := c.byHost.Load(id)
	if !ok {
		return false
	}
	failedAt := state.(*contactState).lastFailure.Load()
	return failedAt != 0 && c.sinceStart(now)-failedAt < int64(timeout)
}

// succeededWithin reports whether the host succeededWithin within the last period and after
// a moment.
func (c *contactTable) succeededWithin(id host.ID, now time.Time, period time.Duration, after time.Time) bool {
	state, ok := c.byHost.Load(id)
	if !ok {
		return false
	}
	succeededAt := state.(*contactState).lastSuccess.Load()
	return succeededAt != 0 && c.sinceStart(now)-succeededAt < int64(period) && succeededAt > int64(after.Sub(c.start))
}

// expireSuspicions ends the suspicions that are over and reports whether there were any.
func (c *contactTable) expireSuspicions(now time.Time, timeout time.Duration) bool {
	ended := false
	c.byHost.Range(func(_, value any) bool {
		state := value.(*contactState)
		if failedAt := state.lastFailure.Load(); failedAt != 0 && c.sinceStart(now)-failedAt >= int64(timeout) {
			ended = state.lastFailure.CompareAndSwap(failedAt, 0) || ended
		}
		return true
	})
	return ended
}

// remove drops what is known of a host.
func (c *contactTable) remove(id host.ID) {
	c.byHost.Delete(id)
}

// retain drops what is known of all hosts but keep.
func (c *contactTable) retain(keep func(host.ID) bool) {
	c.byHost.Range(func(id, _ any) bool {
		if !keep(id.(host.ID)) {
			c.byHost.Delete(id)
		}
		return true
	})
}

// clear drops everything.
func (c *contactTable) clear() {
	c.byHost.Clear()
}
