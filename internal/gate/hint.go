package gate

import "time"

// Hint is what the server's health and load endpoints say. They lag and
// mislead, so a hint may lower the limit for a while and never raises it.
type Hint struct {
	// Healthy is the health endpoint's word.
	Healthy bool
	// Load is the share of its capacity that the server says it uses; above 1
	// it asks for less.
	Load float64
	// BootID names the server process; empty states none.
	BootID string
}

// hintCap is how far the latest hints lower the limit. A cap ends by its time
// or by real answers that refute it, never by a later and kinder hint.
type hintCap struct {
	unhealthyUntil time.Time
	// contradictions counts the good answers since the last fault or healthy hint,
	// while the hints said unhealthy.
	contradictions int
	// loadLimit holds until loadUntil.
	loadLimit int
	loadUntil time.Time
}

// apply takes in a hint about a server with a number of slots.
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

// capLimit returns the limit under the hints. They never capLimit it beneath the cold
// limit, since only real work can refute a false hint.
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

// recordContradiction counts a good answer against unhealthy hints.
func (h *hintCap) recordContradiction(now time.Time) {
	if now.Before(h.unhealthyUntil) {
		h.contradictions++
	}
}

// resetContradictions makes unhealthy hints count again after a fault.
func (h *hintCap) resetContradictions() {
	h.contradictions = 0
}

// overridden reports whether real answers have refuted the unhealthy hints.
func (h *hintCap) overridden(cfg Config) bool {
	return h.contradictions >= cfg.HintOverrideSuccesses
}
