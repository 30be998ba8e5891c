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
	// tickEvery is the interval of the node's own upkeep.
	tickEvery = 200 * time.Millisecond
	// probeEvery is the interval of questions to the server's own endpoints.
	probeEvery = time.Second
	// closeIdleEvery is the interval of the search for idle links.
	closeIdleEvery = 2 * time.Second
)

// upkeep does what is due from time to time: views that expire, the host's own
// record, probes, idle links, and the notice of a pause.
type upkeep struct {
	registry *membership.Registry
	gate     *gate.Gate
	owner    *owner
	backend  *backend.Client
	dialers  []*link.Dialer
	probe    backend.ProbeConfig
	logger   *log.Logger
	pauses   *membership.PauseDetector
}

func newUpkeep(s settings.Settings, registry *membership.Registry, g *gate.Gate, o *owner, b *backend.Client, dialers []*link.Dialer, logger *log.Logger) *upkeep {
	u := &upkeep{
		registry: registry,
		gate:     g,
		owner:    o,
		backend:  b,
		dialers:  dialers,
		probe:    backend.ProbeConfig{HealthPath: s.HealthPath, LoadPath: s.LoadPath},
		logger:   logger,
	}
	u.pauses = membership.NewPauseDetector(u.paused)
	return u
}

func (u *upkeep) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	probe := time.NewTicker(probeEvery)
	defer probe.Stop()
	idle := time.NewTicker(closeIdleEvery)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.tick(time.Now())
		case <-probe.C:
			u.ask(ctx)
		case <-idle.C:
			for _, d := range u.dialers {
				d.CloseIdle(time.Now())
			}
		}
	}
}

func (u *upkeep) tick(now time.Time) {
	u.pauses.Tick(now)
	u.registry.Tick(now)
	u.publishOwn(now)
}

// paused treats what the node believed before as old.
func (u *upkeep) paused(gap time.Duration) {
	now := time.Now()
	u.logger.Warn().Str("part", "node").Dur("gap", gap).Msg("process was paused")
	u.owner.machine.Paused(now)
	u.gate.ProcessPaused(gap)
	u.registry.ResetContacts(now)
}

// publishOwn updates the host's own record from the gate.
func (u *upkeep) publishOwn(now time.Time) {
	load := u.gate.Load()
	u.registry.UpdateOwn(now, load.State, advertised(load), u.gate.Quarantined())
}

// advertised is the capacity that the host's record states. Small steps of the
// limit are not worth a gossip, so they are rounded to a power of two; answers
// carry the exact limit.
func advertised(l gate.Load) uint32 {
	if l.State == host.StateCold {
		return uint32(l.Limit)
	}
	capacity := uint32(1)
	for capacity*2 <= uint32(max(l.Limit, 1)) {
		capacity *= 2
	}
	return capacity
}

// ask takes the word of the server's own endpoints as a hint.
func (u *upkeep) ask(ctx context.Context) {
	if u.probe.HealthPath == "" && u.probe.LoadPath == "" {
		return
	}
	go func() {
		probe := u.backend.Probe(ctx, u.probe)
		u.gate.Hint(gate.Hint{Healthy: probe.Healthy, Load: probe.Load, BootID: probe.BootID})
	}()
}
