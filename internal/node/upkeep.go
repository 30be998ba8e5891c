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
	// tickInterval is the interval of periodic maintenance.
	tickInterval = 200 * time.Millisecond
	// probeInterval is the interval of probes of the backend server's health and load endpoints.
	probeInterval = time.Second
	// idleLinkCheckInterval is the interval of checks for idle links.
	idleLinkCheckInterval = 2 * time.Second
)

// maintenance runs the periodic tasks of a node: expiring membership records, publishing the
// host's own record, probing the backend server, closing idle links, and detecting pauses
// of the process.
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

// handlePause invalidates the state from before a pause of the process, which may be stale.
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

// advertisedCapacity returns the capacity for the host's record. It is rounded down to a
// power of two, so that small changes of the limit cause no gossip; responses carry the
// exact limit. The limit of a cold server is not rounded.
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

// probeBackend probes the backend server's endpoints and passes the result to the gate as
// a hint.
func (u *maintenance) probeBackend(ctx context.Context) {
	if u.probe.HealthPath == "" && u.probe.LoadPath == "" {
		return
	}
	go func() {
		probe := u.backend.Probe(ctx, u.probe)
		u.gate.Hint(gate.Hint{Healthy: probe.Healthy, Load: probe.Load, BootID: probe.BootID})
	}()
}
