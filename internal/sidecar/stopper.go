package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/settings"
)

// stopper carries out the drain of a planned stop.
type stopper struct {
	drainLimit time.Duration
	state      *nodeState
	hop        *LastHop
	callers    callersServer
	// answersDelivered reports whether other nodes have acknowledged all answers.
	answersDelivered func() bool
	logger           *log.Logger
}

func newStopper(s settings.Settings, f *nodeState, hop *LastHop, callers callersServer, links *linkServer, logger *log.Logger) *stopper {
	return &stopper{drainLimit: s.DrainLimit, state: f, hop: hop, callers: callers, answersDelivered: links.answersDelivered, logger: logger}
}

// drain reports the node as not ready, and keeps serving until callers have switched to
// other nodes, because nothing else forwards requests to its server. Then it refuses new
// requests, from callers or for its server, and waits until none is in progress, or until
// the drain limit expires. Callers' connections stay open meanwhile: a refusal says that a
// request did not run, a closed connection says nothing. All the time it starts no attempt
// that is expected to last beyond the drain limit.
func (s *stopper) drain(ctx context.Context) {
	started := time.Now()
	limit := started.Add(time.Duration(drainGraceShare * float64(s.drainLimit)))
	s.logger.Info().Str("part", "node").Int64("busy", s.state.callerRequests.Load()).Msg("stopping")
	s.state.drain.set(limit)
	s.state.stopping.Store(true)
	s.wait(ctx, started.Add(readinessPropagationDelay), func() bool { return false })
	s.hop.SetStopping()
	s.state.refusing.Store(true)
	s.wait(ctx, limit, s.idle)
	s.closeCallerListener(ctx)
	s.logger.Info().Str("part", "node").Int64("busy", s.state.callerRequests.Load()).Dur("took", time.Since(started)).Msg("drained")
}

// idle reports that no request is in progress. A request that the gate refused, or that
// the server has finished, is in progress until its answer has arrived: a narrow link may
// carry an answer for a while after it was written.
func (s *stopper) idle() bool {
	return s.state.callerRequests.Load() == 0 && s.state.peerRequests.Load() == 0 && s.hop.Load().Running == 0 && s.answersDelivered()
}

// closeCallerListener closes the callers' listener and their idle connections.
func (s *stopper) closeCallerListener(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerCloseTimeout)
	defer cancel()
	err := s.callers.Shutdown(ctx)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		s.logger.Warn().Str("part", "node").Err(err).Msg("failed to close the callers' listener")
	}
}

// wait returns when done returns true, at the limit or when ctx ends.
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
