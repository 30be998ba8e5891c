package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/host"
)

// contact is what this node itself saw of a host. Times are nanoseconds since
// the start of the registry; 0 is never.
type contact struct {
	good   atomic.Int64
	failed atomic.Int64 // the last failure that no good contact followed
}

// contacts holds first-hand knowledge by host. It is safe for concurrent use
// and takes no lock for a host that is known and not suspect.
type contacts struct {
	start  time.Time
	byHost sync.Map // host.ID -> *contact
}

func (c *contacts) since(now time.Time) int64 {
	return max(1, int64(now.Sub(c.start)))
}

func (c *contacts) of(id host.ID) *contact {
	if known, ok := c.byHost.Load(id); ok {
		return known.(*contact)
	}
	known, _ := c.byHost.LoadOrStore(id, &contact{})
	return known.(*contact)
}

// good notes an answer and reports whether it ended a suspicion.
func (c *contacts) good(id host.ID, now time.Time) bool {
	known := c.of(id)
	known.good.Store(c.since(now))
	return known.failed.Load() != 0 && known.failed.Swap(0) != 0
}

// failed notes a failure and reports whether it began a suspicion.
func (c *contacts) failed(id host.ID, now time.Time) bool {
	return c.of(id).failed.Swap(c.since(now)) == 0
}

// suspect reports whether the host failed within the last period.
func (c *contacts) suspect(id host.ID, now time.Time, period time.Duration) bool {
	known, ok := c.byHost.Load(id)
	if !ok {
		return false
	}
	at := known.(*contact).failed.Load()
	return at != 0 && c.since(now)-at < int64(period)
}

// answered reports whether the host answered within the last period and after
// a moment.
func (c *contacts) answered(id host.ID, now time.Time, period time.Duration, after time.Time) bool {
	known, ok := c.byHost.Load(id)
	if !ok {
		return false
	}
	at := known.(*contact).good.Load()
	return at != 0 && c.since(now)-at < int64(period) && at > int64(after.Sub(c.start))
}

// expire ends the suspicions that are over and reports whether there were any.
func (c *contacts) expire(now time.Time, period time.Duration) bool {
	ended := false
	c.byHost.Range(func(_, value any) bool {
		known := value.(*contact)
		if at := known.failed.Load(); at != 0 && c.since(now)-at >= int64(period) {
			ended = known.failed.CompareAndSwap(at, 0) || ended
		}
		return true
	})
	return ended
}

// forget drops what is known of a host.
func (c *contacts) forget(id host.ID) {
	c.byHost.Delete(id)
}

// keep drops what is known of all hosts but some.
func (c *contacts) keep(some func(host.ID) bool) {
	c.byHost.Range(func(id, _ any) bool {
		if !some(id.(host.ID)) {
			c.byHost.Delete(id)
		}
		return true
	})
}

// clear drops everything.
func (c *contacts) clear() {
	c.byHost.Clear()
}
