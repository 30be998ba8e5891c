package sidecar

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/settings"
)

// stopper carries out a planned stop.
type stopper struct {
	grace  time.Duration
	flags  *flags
	hop    *LastHop
	logger *log.Logger
}

func newStopper(s settings.Settings, f *flags, hop *LastHop, logger *log.Logger) *stopper {
	return &stopper{grace: s.DrainLimit, flags: f, hop: hop, logger: logger}
}

// drain says that the node is not ready, refuses new work for its own server,
// and waits: first until callers have turned elsewhere, then until nothing is
// under way, but no longer than the permitted time allows.
func (s *stopper) drain(ctx context.Context) {
	started := time.Now()
	s.logger.Info().Str("part", "node").Int64("busy", s.flags.busy.Load()).Msg("stopping")
	s.flags.stopping.Store(true)
	s.hop.SetStopping()
	limit := time.Duration(graceShare * float64(s.grace))
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		elapsed := time.Since(started)
		load := s.hop.Load()
		idle := s.flags.busy.Load() == 0 && load.Running == 0
		if elapsed >= limit || idle && elapsed >= outOfTraffic {
			break
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	s.logger.Info().Str("part", "node").Int64("busy", s.flags.busy.Load()).Dur("took", time.Since(started)).Msg("drained")
}
