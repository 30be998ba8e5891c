package dispatch

import (
	"context"
	"slices"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/ownership"
	"boragefall/internal/retry"
	"boragefall/internal/verdict"
)

const (
	// newViewWait bounds the wait for a host list that a gate knows already.
	newViewWait = 2 * time.Second
	// newViewPoll is the interval of looks at the host list.
	newViewPoll = 20 * time.Millisecond
)

// keyed sends a request that its caller may send again under the same key.
// Every entry asks the host that the key ranks first; only a fence of that
// host opens the next one.
func (d *Dispatcher) keyed(ctx context.Context, r *contract.Request, body Body, plan *retry.Plan) (*contract.Answer, error) {
	for {
		list := d.cfg.HostList()
		hosts := ranked(list, r)
		rank := firstUnfenced(hosts, r.Fences)
		if rank >= len(hosts) {
			return nil, noHostLeft()
		}
		r.HostListRevision = list.Revision
		answer, err := d.ask(ctx, hosts[rank], r, body)
		if err == nil {
			return answer, nil
		}
		next := plan.KeyedNext(retry.KeyedAttempt{
			Attempt:          retry.Attempt{Err: err, Now: time.Now(), BodySpent: !body.Replayable()},
			Host:             hosts[rank],
			HostListRevision: list.Revision,
			Ranks:            len(hosts),
		})
		r.Attempt = int(next.Attempt)
		r.Fences = next.Fenced
		switch next.Kind {
		case retry.KeyedNextRank, retry.KeyedAskAgain:
		case retry.KeyedNewView:
			if !d.awaitView(ctx, next.HostListRevision) {
				return nil, plan.GiveUp(err)
			}
		default:
			return nil, next.Final
		}
	}
}

// noHostLeft is MayHaveRun: a host that has left the list may have run the key.
func noHostLeft() *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonLacksResource, nil)
	e.RetryAfter = time.Second
	return e
}

func ranked(list *host.List, r *contract.Request) []host.ID {
	listings := list.OfService(r.Service)
	ids := make([]host.ID, 0, len(listings))
	for _, l := range listings {
		ids = append(ids, l.ID)
	}
	return ownership.Rank(r.Key, ids)
}

func firstUnfenced(hosts, fenced []host.ID) int {
	for i, id := range hosts {
		if !slices.Contains(fenced, id) {
			return i
		}
	}
	return len(hosts)
}

// ask sends a keyed request to one host, also to a leaving one: its ledger
// still answers.
func (d *Dispatcher) ask(ctx context.Context, id host.ID, r *contract.Request, body Body) (*contract.Answer, error) {
	server, ok := d.cfg.Directory.Server(id)
	if !ok {
		// The views differ for a moment. Another entry may have reached the
		// host, so nothing is proved.
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUnreachable, nil)
	}
	if !body.Replayable() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, nil)
	}
	server.Stats.Begin()
	return d.attempt(ctx, server, r, body)
}

// awaitView waits until this node holds a host list that is at least as new.
func (d *Dispatcher) awaitView(ctx context.Context, revision uint64) bool {
	timeout := time.NewTimer(newViewWait)
	defer timeout.Stop()
	poll := time.NewTicker(newViewPoll)
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
