package workload

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

const (
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// WaitKeys waits until every gate holds a lease and takes keys minted now.
func (f *Fleet) WaitKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.Members {
		for n := m.Node(); n != nil && n.Status().LeaseSeconds <= 0; {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return eris.Wrapf(ErrNotReady, "%s has no lease", m.Listing.ID)
			}
		}
	}
	// A gate that began to own keys takes those minted a clock bound later.
	time.Sleep(2*idempotency.ClockBound + readyPoll)
	return nil
}

// WaitReady waits until every running node is ready and knows all hosts.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.Members {
		for !f.ready(m) {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return eris.Wrapf(ErrNotReady, "%s", m.Listing.ID)
			}
		}
	}
	return nil
}

func (f *Fleet) ready(m *Member) bool {
	n := m.Node()
	if n == nil {
		return true
	}
	status := n.Status()
	return status.Ready && status.Members >= len(f.Members)
}

// Warm reports whether every running node holds its backend server for warm.
func (f *Fleet) Warm() bool {
	for _, m := range f.Running() {
		if m.Node().Status().Gate.State != host.StateWarm.String() {
			return false
		}
	}
	return true
}
