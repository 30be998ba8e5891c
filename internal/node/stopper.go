package node

import (
	"context"
	"io"
	stdlog "log"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"boragefall/internal/gate"
	"boragefall/internal/membership"
	"boragefall/internal/settings"
)

// announceDuration is how long a stopping node still answers callers, with refusals
// as a rule, so that the other nodes hear of its leaving before it is gone.
const announceDuration = 1500 * time.Millisecond

// stopper carries out a planned stop.
type stopper struct {
	settings settings.Settings
	state    *state
	registry *membership.Registry
	gate     *gate.Gate
	callers  callers
	logger   *log.Logger
	killed   chan struct{}
}

func newStopper(s settings.Settings, st *state, r *membership.Registry, g *gate.Gate, c callers, logger *log.Logger) *stopper {
	return &stopper{settings: s, state: st, registry: r, gate: g, callers: c, logger: logger, killed: make(chan struct{})}
}

func startStopper(lc fx.Lifecycle, s *stopper) {
	lc.Append(fx.StopHook(s.stop))
}

// kill makes stop return at once.
func (s *stopper) kill() {
	close(s.killed)
}

// stop says leaving, waits until the others know, refuses new work, and waits
// for what runs.
func (s *stopper) stop(ctx context.Context) error {
	select {
	case <-s.killed:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.DrainLimit)
	defer cancel()
	s.logger.Info().Str("part", "node").Msg("leaving")
	s.state.stopping.Store(true)
	s.gate.SetLeaving(true)
	s.announce(ctx)
	// Shutdown waits for the requests that callers sent to this entry.
	if err := s.callers.Shutdown(ctx); err != nil {
		s.logger.Warn().Str("part", "node").Err(err).Msg("callers cut off at the drain limit")
	}
	if err := s.gate.Drain(ctx); err != nil {
		s.logger.Warn().Str("part", "node").Err(err).Msg("requests cut off at the drain limit")
		return nil
	}
	s.logger.Info().Str("part", "node").Msg("drained")
	return nil
}

// announce publishes the leaving record and gives it time to spread. New work
// is refused meanwhile as never run, so entries that don't know yet go on to
// another server.
func (s *stopper) announce(ctx context.Context) {
	s.registry.UpdateOwn(time.Now(), s.gate.Load().State, 0, s.gate.Quarantined())
	select {
	case <-time.After(announceDuration):
	case <-ctx.Done():
	}
}

// discardLog silences net/http, whose errors are those of callers that leave.
func discardLog() *stdlog.Logger {
	return stdlog.New(io.Discard, "", 0)
}
