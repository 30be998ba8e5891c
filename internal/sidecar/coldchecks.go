package sidecar

import (
	"sync"
	"time"
)

// coldCheckShare is the share of the requests that a cold server may receive in a second
// after which a server that the store may call warm in error is asked again.
const coldCheckShare = 0.25

// coldChecks paces the health checks of a server while the copy of the store is stale: the
// server may turn cold without this node hearing of it. It is safe for concurrent use.
type coldChecks struct {
	mu sync.Mutex
	// rate is the number of requests that the server may receive in a second while cold;
	// 0 if it is not known.
	rate float64
	// sent is the number of requests since the last check; negative while the copy is
	// current, so that the first request on a stale one is followed by a check.
	sent    int
	running bool
}

func (c *coldChecks) setRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = rate
}

// start counts a request and reports whether a check is due. A check that is started has
// to be ended with done.
func (c *coldChecks) start(stale bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !stale || c.rate <= 0 {
		c.sent = -1
		return false
	}
	first := c.sent < 0
	c.sent = max(c.sent, 0) + 1
	if c.running || !first && float64(c.sent) < c.rate*coldCheckShare {
		return false
	}
	c.sent, c.running = 0, true
	return true
}

func (c *coldChecks) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
}

// checkColdIfStale counts a request for the server, and asks the server whether it is cold
// when that is due. A server that is known to be cold is not asked.
func (h *LastHop) checkColdIfStale(now time.Time) {
	if !h.coldChecks.start(h.staleCopy(now) && !h.gate.Cold()) {
		return
	}
	go func() {
		defer h.coldChecks.done()
		h.prober.checkCold()
	}()
}
