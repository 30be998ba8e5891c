package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/settings"
)

// stopper carries out a planned stop.
type stopper struct {
	drainLimit time.Duration
	state      *nodeState
	hop        *LastHop
	callers    callersServer
	logger     *log.Logger
}

func newStopper(s settings.Settings, f *nodeState, hop *LastHop, callers callersServer, logger *log.Logger) *stopper {
	return &stopper{drainLimit: s.DrainLimit, state: f, hop: hop, callers: callers, logger: logger}
}

// drain says that the node is not ready, and goes on as before until callers have
// turned elsewhere: without this node its server serves nobody. Then it takes no new
// requests, neither from callers nor for its server, and waits until none is under
// way, but no longer than the permitted time allows.
func (s *stopper) drain(ctx context.Context) {
	started := time.Now()
	s.logger.Info().Str("part", "node").Int64("busy", s.state.callerRequests.Load()).Msg("stopping")
	s.state.stopping.Store(true)
	s.wait(ctx, started.Add(readinessPropagationDelay), func() bool { return false })
	s.hop.SetStopping()
	s.closeCallerListener(ctx)
	limit := started.Add(time.Duration(drainGraceShare * float64(s.drainLimit)))
	s.wait(ctx, limit, s.idle)
	s.logger.Info().Str("part", "node").Int64("busy", s.state.callerRequests.Load()).Dur("took", time.Since(started)).Msg("drained")
}

// idle reports that no request is under way. A request that the gate refused, or whose
// server is done, is under way until its answer is sent.
func (s *stopper) idle() bool {
	return s.state.callerRequests.Load() == 0 && s.state.peerRequests.Load() == 0 && s.hop.Load().Running == 0
}

// closeCallerListener closes the callers' listener and their unused connections. Some
// callers go on sending to a node that says it is not ready; their requests
// would be cut at the end.
func (s *stopper) closeCallerListener(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerCloseTimeout)
	defer cancel()
	err := s.callers.Shutdown(ctx)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		s.logger.Warn().Str("part", "node").Err(err).Msg("callers' listener not closed")
	}
}

// wait returns once done says so, at the limit or when the context ends.
func (s *stopper) wait(ctx context.Context, limit time.Time, done func() bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(limit) && !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
