package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/wire"
)

const (
	// crashNoticeTimeout bounds the exchange of a crash notice with one peer.
	crashNoticeTimeout = time.Second
	// maxFetchPeers is the number of peers that a node asks when it starts.
	maxFetchPeers = 8
	// quarantineSyncInterval is how often a node with quarantined requests exchanges them
	// with one peer, which may have missed a notice.
	quarantineSyncInterval = 2 * time.Second
)

// crashSync exchanges crash notices with the other gates of the service.
type crashSync struct {
	tracker *crashTracker
	// peers returns the link addresses of the other nodes of the service.
	peers func() []string
	// exchange sends a notice to a peer and returns the peer's own.
	exchange func(ctx context.Context, address string, m *wire.CrashNotice) (*wire.CrashNotice, error)
	logger   *log.Logger
}

// notify sends a notice to all peers without waiting.
func (s *crashSync) notify(notice crashNotice) {
	for _, address := range s.peers() {
		go s.send(context.Background(), address, notice)
	}
}

// send sends a notice to a peer and applies the peer's own.
func (s *crashSync) send(ctx context.Context, address string, notice crashNotice) {
	ctx, cancel := context.WithTimeout(ctx, crashNoticeTimeout)
	defer cancel()
	answer, err := s.exchange(ctx, address, encodeCrashNotice(notice, time.Now()))
	if err != nil {
		s.logger.Debug().Str("part", "gate").Str("peer", address).Err(err).Msg("failed to exchange crash notices with a peer")
		return
	}
	s.tracker.applyNotice(decodeCrashNotice(answer, time.Now()))
}

// fetch asks some peers for the requests that they have quarantined. It returns when all
// have answered or are known not to.
func (s *crashSync) fetch() {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var asked sync.WaitGroup
	for _, address := range peers[:min(len(peers), maxFetchPeers)] {
		asked.Go(func() { s.send(context.Background(), address, crashNotice{}) })
	}
	asked.Wait()
}

// run exchanges quarantined requests with one peer at a time until the context ends.
func (s *crashSync) run(ctx context.Context) {
	ticker := time.NewTicker(quarantineSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.syncOnce(ctx, now)
		}
	}
}

// syncOnce sends the quarantined requests, if there are any, to a random peer.
func (s *crashSync) syncOnce(ctx context.Context, now time.Time) {
	quarantined, peers := s.tracker.quarantinedRequests(now), s.peers()
	if len(quarantined) > 0 && len(peers) > 0 {
		s.send(ctx, peers[rand.IntN(len(peers))], crashNotice{quarantined: quarantined})
	}
}
