package sidecar

import (
	"sync"
	"time"
)

// callWait measures the time in which nested calls of a run are in progress, which is no
// work of its server. Calls may overlap. It is safe for concurrent use.
type callWait struct {
	mu         sync.Mutex
	inProgress int
	// since is when the calls in progress began, total the time of those that ended.
	since time.Time
	total time.Duration
}

func (c *callWait) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress == 0 {
		c.since = now
	}
	c.inProgress++
}

func (c *callWait) end(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	if c.inProgress == 0 {
		c.total += now.Sub(c.since)
	}
}

// until returns the time in which calls were in progress until now.
func (c *callWait) until(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress > 0 {
		return c.total + now.Sub(c.since)
	}
	return c.total
}
