package sidecar

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"boragefall/internal/link"
	"boragefall/internal/listen"
	"boragefall/internal/settings"
)

// linkServer holds the listener for the links of other nodes once it has started.
type linkServer struct {
	listener atomic.Pointer[link.Listener]
}

func newLinkServer() *linkServer { return &linkServer{} }

// answersDelivered reports whether other nodes have acknowledged all answers to them.
func (s *linkServer) answersDelivered() bool {
	listener := s.listener.Load()
	return listener == nil || listener.AllDelivered(link.ClassRequest)
}

// unsentBytes returns the bytes of answers that other nodes have not acknowledged.
func (s *linkServer) unsentBytes() int64 {
	if listener := s.listener.Load(); listener != nil {
		return listener.UnsentBytes(link.ClassRequest)
	}
	return 0
}

func startLinks(lc fx.Lifecycle, s settings.Settings, self link.Identity, h *streamServer, links *linkServer, guard *listen.Guard, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() error {
		l, err := net.Listen("tcp", s.LinkListen)
		if err != nil {
			return eris.Wrap(err, "listen for links")
		}
		cfg := linkConfig()
		bounds := guard.Limits()
		cfg.Limits = link.Limits{Links: bounds.Links, Streams: bounds.Streams, Bytes: bounds.StreamBytes, Closed: guard.Closed}
		listener := link.NewListener(cfg, self, &link.Counter{}, l, h, logger)
		links.listener.Store(listener)
		go listener.Serve(ctx)
		return nil
	}, func() {
		cancel()
		links.listener.Load().Close()
	}))
}
