package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// GossipHandler answers gossip messages.
type GossipHandler interface {
	HandleGossip(ctx context.Context, m *wire.Gossip) *wire.Gossip
}

// PullHandler answers requests for a manifest or files.
type PullHandler interface {
	HandlePull(m *wire.Pull) *wire.PullAnswer
}

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	HandleHeartbeat(m *wire.Heartbeat) *wire.Heartbeat
}

// Server answers gossip messages, pulls and heartbeats from other nodes.
type Server struct {
	Gossip    GossipHandler
	Pull      PullHandler
	Heartbeat HeartbeatHandler
}

// Serve answers the opening message of a stream. It returns false, without an answer, if
// the opening is of another kind.
func (s *Server) Serve(ctx context.Context, opening *wire.Opening, stream *link.Stream) bool {
	var answer proto.Message
	switch kind := opening.GetKind().(type) {
	case *wire.Opening_Gossip:
		answer = s.Gossip.HandleGossip(ctx, kind.Gossip)
	case *wire.Opening_Pull:
		answer = s.Pull.HandlePull(kind.Pull)
	case *wire.Opening_Heartbeat:
		answer = s.Heartbeat.HandleHeartbeat(kind.Heartbeat)
	default:
		return false
	}
	if stream.Send(answer) == nil {
		_ = stream.Flush()
	}
	return true
}
