package node

import (
	"context"

	"boragefall/internal/control"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// streams serves the streams that peers open on this node's links.
type streams struct {
	control  *control.Server
	requests *exchange.Server
}

// ServeStream serves one stream. An opening of an unknown kind, which a newer
// peer may send, gets no answer.
func (s *streams) ServeStream(ctx context.Context, _ link.Class, opening *wire.Opening, stream *link.Stream) {
	if head := opening.GetRequest(); head != nil {
		s.requests.Serve(ctx, head, stream)
		return
	}
	s.control.Serve(ctx, opening, stream)
}

// RefuseStream refuses a request that has no place. The node that asks for anything else
// tries again.
func (s *streams) RefuseStream(class link.Class, stream *link.Stream) error {
	if class != link.ClassRequest {
		return nil
	}
	return s.requests.Refuse(stream)
}
