package dispatch

import (
	"context"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/ownership"
	"boragefall/internal/retry"
	"boragefall/internal/verdict"
)

const (
	// viewRefreshTimeout bounds the wait for a host list revision that a gate reported.
	viewRefreshTimeout = 2 * time.Second
	// viewPollInterval is the interval at which the host list is checked during that wait.
	viewPollInterval = 20 * time.Millisecond
)

// sendKeyed sends a request that the caller may send again under the same key. Every entry
// node tries the hosts in the order of the key's ranking and goes to the next host only
// after a host has fenced the key.
func (d *Dispatcher) sendKeyed(ctx context.Context, r *contract.Request, body Body, plan *retry.Plan) (*contract.Answer, error) {
	view := serviceView(d.cfg.HostList(), r.Service)
	failover := ownership.NewFailover(r.Key, view)
	for {
		id, more := failover.Next()
		if !more {
			return nil, noHostsLeftError()
		}
		r.FencedHosts = failover.FencedHosts()
		r.HostListRevision = view.Revision
		answer, err := d.sendToHost(ctx, id, r, body)
		if err == nil {
			return answer, nil
		}
		decision := plan.KeyedNext(retry.KeyedAttempt{
			Attempt:          retry.Attempt{Err: err, Now: time.Now(), BodyConsumed: !body.CanOpen()},
			Host:             id,
			HostListRevision: view.Revision,
			RankedHosts:      len(view.Hosts),
		})
		r.Attempt = int(decision.Attempt)
		switch decision.Kind {
		case retry.KeyedRetryOwner:
		case retry.KeyedNextRank:
			failover.RecordRefusal(id, verdict.FromError(err))
		case retry.KeyedRefreshView:
			if !d.waitForView(ctx, decision.HostListRevision) {
				return nil, plan.FinalError(err)
			}
			view = serviceView(d.cfg.HostList(), r.Service)
			failover.SetView(view)
		default:
			return nil, decision.Final
		}
	}
}

// serviceView returns the hosts of a service in a host list.
func serviceView(list *host.List, service string) ownership.View {
	view := ownership.View{Revision: list.Revision}
	for _, l := range list.ForService(service) {
		view.Hosts = append(view.Hosts, l.ID)
	}
	return view
}

// noHostsLeftError returns MayHaveRun, since a host that is no longer listed may have run
// the key.
func noHostsLeftError() *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonLacksResource, nil)
	e.RetryAfter = time.Second
	return e
}

// sendToHost sends a keyed request to one host. The host may be leaving, since its ledger
// still answers.
func (d *Dispatcher) sendToHost(ctx context.Context, id host.ID, r *contract.Request, body Body) (*contract.Answer, error) {
	server, ok := d.cfg.Directory.Server(id)
	if !ok {
		// The host list and the directory differ for a moment. Another entry node may
		// have reached the host, so the key may have run.
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUnreachable, nil)
	}
	if !body.CanOpen() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, nil)
	}
	server.Stats.Begin()
	return d.attempt(ctx, server, r, body)
}

// waitForView waits until the host list of this node has at least the given revision.
func (d *Dispatcher) waitForView(ctx context.Context, revision uint64) bool {
	timeout := time.NewTimer(viewRefreshTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(viewPollInterval)
	defer poll.Stop()
	for {
		if d.cfg.HostList().Revision >= revision {
			return true
		}
		select {
		case <-poll.C:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
