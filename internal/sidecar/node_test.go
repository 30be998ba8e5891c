package sidecar

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// replacedPeers simulates links to servers that are constantly replaced.
type replacedPeers struct {
	mu     sync.Mutex
	usedAt map[int]time.Time
}

// use records that a peer is used, and returns the number of tracked peers.
func (p *replacedPeers) use(peer int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt[peer] = time.Now()
	return len(p.usedAt)
}

// CloseIdle removes the peers that were not used for a minute.
func (p *replacedPeers) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, at := range p.usedAt {
		if now.Sub(at) >= time.Minute {
			delete(p.usedAt, peer)
		}
	}
}

// Guards against a leak: nodes kept a link to every host they had ever connected to.
func TestLinksToReplacedServersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers := &replacedPeers{usedAt: map[int]time.Time{}}
		ctx, cancel := context.WithCancel(t.Context())
		go closeIdleLinks(ctx, peers)
		const interval, days = 10 * time.Second, 3
		for peer := range int(days * 24 * time.Hour / interval) {
			time.Sleep(interval)
			g.Expect(peers.use(peer)).To(BeNumerically("<=", int((time.Minute+idleLinkCheckInterval)/interval)+2))
		}
		cancel()
		synctest.Wait()
	})
}
