package gate

import "time"

// Hint is a report of the server's health and load endpoints. These lag and can be wrong,
// so a hint may lower the limit for a while but never raises it.
type Hint struct {
	// Healthy is the result of the health endpoint.
	Healthy bool
	// Load is the share of its capacity that the server reports as used; above 1 it asks
	// for less load.
	Load float64
	// BootID identifies the server process; empty if unknown.
	BootID string
}

// hintCap is the cap that recent hints put on the limit. A cap ends when it expires or
// when successful answers contradict it, never because a later hint is better.
type hintCap struct {
	unhealthyUntil time.Time
	// contradictions counts the successful answers that arrived while hints reported the
	// server as unhealthy, since the last fault or healthy hint.
	contradictions int
	// loadLimit applies until loadUntil.
	loadLimit int
	loadUntil time.Time
}

// apply updates the cap from a hint about a server with the given slots.
func (h *hintCap) apply(hint Hint, slots int, now time.Time, cfg Config) {
	until := now.Add(cfg.HintTTL)
	if !hint.Healthy {
		h.unhealthyUntil = until
	} else if h.overridden(cfg) {
		h.unhealthyUntil = time.Time{}
		h.contradictions = 0
	}
	if hint.Load <= 1 {
		return
	}
	limit := int(float64(slots) / hint.Load)
	if !now.Before(h.loadUntil) || limit <= h.loadLimit {
		h.loadLimit, h.loadUntil = limit, until
	}
}

// capLimit returns the limit under the cap. The cap is never below the cold limit, since
// only real requests can contradict a wrong hint.
func (h *hintCap) capLimit(limit int, now time.Time, cfg Config) int {
	coldLimit := cfg.Service.ColdLimit
	if now.Before(h.unhealthyUntil) && !h.overridden(cfg) {
		limit = min(limit, coldLimit)
	}
	if now.Before(h.loadUntil) {
		limit = min(limit, max(coldLimit, h.loadLimit))
	}
	return limit
}

// recordContradiction counts a successful answer while hints report the server as
// unhealthy.
func (h *hintCap) recordContradiction(now time.Time) {
	if now.Before(h.unhealthyUntil) {
		h.contradictions++
	}
}

// resetContradictions makes unhealthy hints count again after a fault.
func (h *hintCap) resetContradictions() {
	h.contradictions = 0
}

// overridden reports whether successful answers override the unhealthy hints.
func (h *hintCap) overridden(cfg Config) bool {
	return h.contradictions >= cfg.HintOverrideSuccesses
}
