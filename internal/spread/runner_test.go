package spread

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// network is an in-memory Transport that finds runners by address.
type network struct{ sync.Map }

func (n *network) at(address string) (*Runner, error) {
	if r, ok := n.Load(address); ok {
		return r.(*Runner), nil
	}
	return nil, errors.New("no runner at this address")
}

func (n *network) Gossip(ctx context.Context, address string, m *wire.Gossip) (*wire.Gossip, error) {
	r, err := n.at(address)
	if err != nil {
		return nil, err
	}
	return r.HandleGossip(ctx, m), nil
}

func (n *network) Pull(_ context.Context, address string, m *wire.Pull) (*wire.PullAnswer, error) {
	r, err := n.at(address)
	if err != nil {
		return nil, err
	}
	return r.HandlePull(m), nil
}

// memorySource is an in-memory Source.
type memorySource struct {
	mu          sync.Mutex
	unavailable bool
	folders     [len(kinds)]configservice.Folder
}

func (s *memorySource) set(i int, revision uint64, name, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folders[i] = configservice.Folder{Revision: revision, Files: []config.File{{Name: name, Data: []byte(data)}}}
}

func (s *memorySource) read(i int) (*configservice.Folder, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, configservice.ErrUnavailable
	}
	f := s.folders[i]
	return &f, nil
}

func (s *memorySource) watch(i int, after uint64, wait time.Duration) (*configservice.Folder, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f, err := s.read(i); err != nil || f.Revision != after {
			return f, err
		}
	}
	return nil, nil
}

func (s *memorySource) ReadConfig(context.Context, []config.File) (*configservice.Folder, error) {
	return s.read(0)
}

func (s *memorySource) WatchConfig(_ context.Context, after uint64, wait time.Duration, _ []config.File) (*configservice.Folder, error) {
	return s.watch(0, after, wait)
}

func (s *memorySource) ReadHosts(context.Context) (*configservice.Folder, error) { return s.read(1) }

func (s *memorySource) WatchHosts(_ context.Context, after uint64, wait time.Duration) (*configservice.Folder, error) {
	return s.watch(1, after, wait)
}

// memoryApplier records the applied versions.
type memoryApplier struct {
	versions []config.Version
	lists    []uint64
}

func (a *memoryApplier) ApplyConfig(s *config.Snapshot) { a.versions = append(a.versions, s.Version) }
func (a *memoryApplier) ApplyHostList(l *host.List)     { a.lists = append(a.lists, l.Revision) }

// TestRunnersApplyInOrder checks that three runners apply versions in order, of which the
// last starts while the source is unavailable.
func TestRunnersApplyInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &memorySource{}
		nodes, appliers := &network{}, []*memoryApplier{{}, {}, {}}
		hosts := ""
		for i := range appliers {
			hosts += fmt.Sprintf(`,{"id":"h%d","address":"10.0.0.%d:1","place":{"region":"r","dataCentre":"c"},"service":"s"}`, i, i)
		}
		publish := func(revision uint64) {
			source.set(0, revision, "10-a.json", fmt.Sprintf(`{"callers":{"boat":{"weight":%d}}}`, revision))
		}
		publish(1)
		source.set(1, 5, "hosts.json", `{"revision":5,"hosts":[`+hosts[1:]+`]}`)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		start := func(i int) {
			self := host.Listing{ID: host.ID(fmt.Sprint("h", i)), Address: fmt.Sprintf("10.0.0.%d:1", i)}
			cfg := Config{BootPeers: []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}[:2]}
			logger := &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}
			r := NewRunner(cfg, self, nodes, source, appliers[i], logger)
			nodes.Store(self.Address, r)
			running.Go(func() { r.Run(ctx) })
		}
		start(0)
		start(1)
		time.Sleep(10 * time.Second)
		for revision := uint64(2); revision < 6; revision++ {
			publish(revision)
			time.Sleep(2 * time.Second)
		}
		source.mu.Lock()
		source.unavailable = true
		source.mu.Unlock()
		start(2)
		time.Sleep(2 * time.Second)
		for i, a := range appliers {
			g.Expect(a.lists).To(Equal([]uint64{5}))
			g.Expect(a.versions[len(a.versions)-1].Revision).To(Equal(uint64(5)), "host %d", i)
			for j := 1; j < len(a.versions); j++ {
				g.Expect(a.versions[j-1].Less(a.versions[j])).To(BeTrue())
			}
		}
		g.Expect(appliers[2].versions).To(HaveLen(1))
		cancel()
		running.Wait()
	})
}
