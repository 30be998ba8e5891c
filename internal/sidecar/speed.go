package sidecar

import (
	"time"

	"boragefall/internal/admission"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
	"boragefall/internal/telemetry"
)

// observeSpeed records what a run shows about the speed of the server. answer is nil if
// there was none.
func (h *LastHop) observeSpeed(permit *admission.Permit, r *run, answer *serverconn.Answer) {
	observation := admission.Observation{CallWait: r.calls.until(time.Now())}
	if answer != nil && !answer.ServerResponse.WrongServer {
		observation.StatedPercent = answer.ServerResponse.Load.Slowdown
		if !answer.Buffered && observation.StatedPercent > 0 {
			// The permit ends with the body, when the statement is no longer current.
			h.gate.RecordStated(observation.StatedPercent)
			observation.StatedPercent = 0
		}
	}
	permit.Observe(observation)
}

// observeHealthLoad records the load in the answer to a health check, unless another
// server than the listed one gave it.
func (h *LastHop) observeHealthLoad(r protocol.ServerResponse) {
	listing := h.view().ServerAt(h.address)
	if r.Load.Slowdown == 0 || r.Server != "" && listing != nil && r.Server != mesh.ServerID(listing.ID) {
		return
	}
	h.gate.RecordStated(r.Load.Slowdown)
}

// logConcurrency logs a change of the concurrency that the server handles well.
func (h *LastHop) logConcurrency(load contract.Load) {
	was, is := h.loggedConcurrency.Load(), int64(load.Concurrency)
	if was == is || !h.loggedConcurrency.CompareAndSwap(was, is) {
		return
	}
	h.logger.Info().Str("part", "gate").Int("concurrency", load.Concurrency).Int("slots", load.Limit).
		Int("slowdown", load.Slowdown).Dur("service", load.ServiceTime).Msg("concurrency of the server changed")
}

// registerSpeedMetrics registers the metrics of the server's speed.
func registerSpeedMetrics(m *telemetry.Metrics, hop *LastHop) {
	m.Gauge("server_speed", "Present speed of the server beside this node relative to its usual speed.", func() float64 { return hop.gate.Speed().Factor })
	m.Gauge("server_concurrency", "Requests that the server beside this node runs well at once.", func() float64 { return float64(hop.gate.Speed().Concurrency) })
	m.Gauge("server_stated_slowdown", "Time that work takes at the moment in percent of the usual time, as the server beside this node states it; 0 while it states none.", func() float64 {
		return float64(hop.gate.Speed().StatedPercent)
	})
}
