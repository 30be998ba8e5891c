package node

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/backend"
	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/membership"
	"boragefall/internal/settings"
)

const (
	// tickInterval is the interval of the node's own upkeep.
	tickInterval = 200 * time.Millisecond
	// probeInterval is the interval of questions to the server's own endpoints.
	probeInterval = time.Second
	// idleLinkCheckInterval is the interval of the search for idle links.
	idleLinkCheckInterval = 2 * time.Second
)

// maintenance does what is due from time to time: views that expire, the host's own
// record, probes, idle links, and the notice of a pause.
type maintenance struct {
	registry *membership.Registry
	gate     *gate.Gate
	owner    *owner
	backend  *backend.Client
	dialers  []*link.Dialer
	probe    backend.ProbeConfig
	logger   *log.Logger
	pauses   *membership.PauseDetector
}

func newMaintenance(s settings.Settings, registry *membership.Registry, g *gate.Gate, o *owner, b *backend.Client, dialers []*link.Dialer, logger *log.Logger) *maintenance {
	u := &maintenance{
		registry: registry,
		gate:     g,
		owner:    o,
		backend:  b,
		dialers:  dialers,
		probe:    backend.ProbeConfig{HealthPath: s.HealthPath, LoadPath: s.LoadPath},
		logger:   logger,
	}
	u.pauses = membership.NewPauseDetector(u.handlePause)
	return u
}

func (u *maintenance) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	idle := time.NewTicker(idleLinkCheckInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.tick(time.Now())
		case <-probe.C:
			u.probeBackend(ctx)
		case <-idle.C:
			for _, d := range u.dialers {
				d.CloseIdle(time.Now())
			}
		}
	}
}

func (u *maintenance) tick(now time.Time) {
	u.pauses.Tick(now)
	u.registry.Tick(now)
	u.publishOwn(now)
}

// handlePause treats what the node believed before as old.
func (u *maintenance) handlePause(gap time.Duration) {
	now := time.Now()
	u.logger.Warn().Str("part", "node").Dur("gap", gap).Msg("process was paused")
	u.owner.machine.Paused(now)
	u.gate.ProcessPaused(gap)
	u.registry.ResetContacts(now)
}

// publishOwn updates the host's own record from the gate.
func (u *maintenance) publishOwn(now time.Time) {
	load := u.gate.Load()
	u.registry.UpdateOwn(now, load.State, advertisedCapacity(load), u.gate.Quarantined())
}

// advertisedCapacity is the capacity that the host's record states. Small steps of the
// limit are not worth a gossip, so they are rounded to a power of two; answers
// carry the exact limit.
func advertisedCapacity(l gate.Load) uint32 {
	if l.State == host.StateCold {
		return uint32(l.Limit)
	}
	capacity := uint32(1)
	for capacity*2 <= uint32(max(l.Limit, 1)) {
		capacity *= 2
	}
	return capacity
}

// probeBackend takes the word of the server's own endpoints as a hint.
func (u *maintenance) probeBackend(ctx context.Context) {
	if u.probe.HealthPath == "" && u.probe.LoadPath == "" {
		return
	}
	go func() {
		probe := u.backend.Probe(ctx, u.probe)
		u.gate.Hint(gate.Hint{Healthy: probe.Healthy, Load: probe.Load, BootID: probe.BootID})
	}()
}
