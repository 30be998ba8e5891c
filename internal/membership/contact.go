package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
)

// contactState holds the results of this node's own attempts to reach a host. Times are
// nanoseconds since the start of the registry; 0 means never.
type contactState struct {
	lastSuccess atomic.Int64
	lastFailure atomic.Int64 // reset to 0 by a success and on expiry
}

// contactTable holds the contact state of each host. It is safe for concurrent use and
// takes no lock for a host that is known and not suspect.
type contactTable struct {
	start  time.Time
	byHost sync.Map // host.ID -> *contactState
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

// recordSuccess records an answer of the host and reports whether the host was suspect.
func (c *contactTable) recordSuccess(id host.ID, now time.Time) bool {
	state := c.getOrCreate(id)
	state.lastSuccess.Store(c.sinceStart(now))
	return state.lastFailure.Load() != 0 && state.lastFailure.Swap(0) != 0
}

// recordFailure records a failure to reach the host and reports whether the host was
// not suspect before.
func (c *contactTable) recordFailure(id host.ID, now time.Time) bool {
	return c.getOrCreate(id).lastFailure.Swap(c.sinceStart(now)) == 0
}

// isSuspect reports whether this node failed to reach the host within the timeout and has
// had no answer since.
func (c *contactTable) isSuspect(id host.ID, now time.Time, timeout time.Duration) bool {
	state, ok := c.byHost.Load(id)
	if !ok {
		return false
	}
	failedAt := state.(*contactState).lastFailure.Load()
	return failedAt != 0 && c.sinceStart(now)-failedAt < int64(timeout)
}

// succeededWithin reports whether the host's last answer is younger than period and came
// later than after.
func (c *contactTable) succeededWithin(id host.ID, now time.Time, period time.Duration, after time.Time) bool {
	state, ok := c.byHost.Load(id)
	if !ok {
		return false
	}
	succeededAt := state.(*contactState).lastSuccess.Load()
	return succeededAt != 0 && c.sinceStart(now)-succeededAt < int64(period) && succeededAt > int64(after.Sub(c.start))
}

// expireSuspicions clears the failures older than the timeout and reports whether there
// were any.
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

// remove deletes the contact state of a host.
func (c *contactTable) remove(id host.ID) {
	c.byHost.Delete(id)
}

// retain deletes the contact state of all hosts for which keep reports false.
func (c *contactTable) retain(keep func(host.ID) bool) {
	c.byHost.Range(func(id, _ any) bool {
		if !keep(id.(host.ID)) {
			c.byHost.Delete(id)
		}
		return true
	})
}

// clear deletes the contact state of all hosts.
func (c *contactTable) clear() {
	c.byHost.Clear()
}
