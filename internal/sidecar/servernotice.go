package sidecar

import (
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/protocol"
)

const (
	// limitRecheckInterval is how often a health check asks whether the limit of a server
	// still holds, if the limit permits fewer requests than that.
	limitRecheckInterval = 2500 * time.Millisecond
	// maxLoggedValue bounds the bytes of a malformed header value in the log.
	maxLoggedValue = 64
)

// observeNotice records what the server states about itself in the answer to a request
// that was sent at sentAt, when listing was the server's record; nil if it was unlisted.
func (h *LastHop) observeNotice(r protocol.ServerResponse, listing *catalog.Listing, sentAt time.Time) {
	if r.Notice.Leaving && listing != nil {
		h.markLeaving(listing.Server)
	}
	h.logMalformedLimit(r.Notice)
	limit := r.Notice.RateLimit
	h.mu.Lock()
	defer h.mu.Unlock()
	if !limit.Stated && (r.Notice.MalformedLimit != "" || r.NotExecuted) {
		return // neither states a limit nor that there is none
	}
	if h.limit.observe(limit, sentAt, time.Now()) {
		h.applyLimit("stated in an answer")
	}
}

// observeHealthNotice records what the server states about itself in the answer to a
// health check.
func (h *LastHop) observeHealthNotice(r protocol.ServerResponse) {
	n := r.Notice
	if listing := h.view().ServerAt(h.address); n.Leaving && listing != nil && (r.Server == "" || r.Server == listing.ID) {
		h.markLeaving(listing.Server)
	}
	h.logMalformedLimit(n)
	h.observeHealthLoad(r)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !n.RateLimit.Stated && n.MalformedLimit != "" {
		return
	}
	if h.limit.observeHealth(n.RateLimit, time.Now()) {
		h.applyLimit("stated in a health check")
	}
}

func (h *LastHop) logMalformedLimit(n protocol.ServerNotice) {
	if n.MalformedLimit == "" {
		return
	}
	h.logger.Warn().Str("part", "gate").Str("value", n.MalformedLimit[:min(len(n.MalformedLimit), maxLoggedValue)]).
		Msg("ignored a malformed limit of the server")
}

// adoptLimit applies the limit that an entry knows of, if this process knows none yet.
func (h *LastHop) adoptLimit(limit contract.RateLimit) {
	if !limit.Stated {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit.adopt(limit, time.Now()) {
		h.applyLimit("known to an entry")
	}
}

// applyLimit passes a changed limit to the gate. h.mu must be held.
func (h *LastHop) applyLimit(source string) {
	limit := h.limit.current
	h.gate.SetRateLimit(limit)
	h.logger.Info().Str("part", "gate").Bool("limited", limit.Stated).Float64("per_second", limit.PerSecond).
		Str("source", source).Uint64("handed_over", h.handedOver.Load()).Msg("server changed its request limit")
	h.scheduleRecheck()
}

// scheduleRecheck schedules recheckLimit if the limit permits so few requests that their
// answers would not show soon that it has changed. h.mu must be held.
func (h *LastHop) scheduleRecheck() {
	limit := h.limit.current
	if !h.recheckScheduled && limit.Stated && limit.PerSecond*limitRecheckInterval.Seconds() < 1 {
		h.recheckScheduled = true
		time.AfterFunc(limitRecheckInterval, h.recheckLimit)
	}
}

// recheckLimit asks a server with a low limit whether the limit still holds. A server that
// states its limit only in answers to requests gets one request beyond the limit instead.
func (h *LastHop) recheckLimit() {
	h.mu.Lock()
	h.recheckScheduled = false
	limited := h.limit.current.Stated
	silent := time.Since(h.limit.observedAt) >= limitRecheckInterval
	h.mu.Unlock()
	if !limited {
		return
	}
	if silent {
		h.prober.checkLimit()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if silent && h.limit.current.Stated && !h.limit.inHealthAnswers {
		h.gate.GrantStart()
	}
	h.scheduleRecheck()
}

// RateLimit returns the request rate that the server accepts.
func (h *LastHop) RateLimit() contract.RateLimit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limit.current
}
