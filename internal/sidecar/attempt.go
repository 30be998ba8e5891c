package sidecar

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/verdict"
)

const (
	// unreachableEjectionTime is how long an entry avoids a server whose node was
	// unreachable.
	unreachableEjectionTime = time.Second
	// leavingEjectionTime is how long an entry avoids a closed gate: either its server
	// leaves for good, or its node is available again after about that time.
	leavingEjectionTime = time.Second
	// fenceTimeout bounds a fence request to a gate.
	fenceTimeout = 300 * time.Millisecond
)

// attempt sends the request to one server and reports the result to the task. It records what
// the result shows about the server, its gate and the link.
func (t *task) attempt(ctx context.Context, listing *catalog.Listing, r *contract.Request) {
	d := t.dispatcher
	var answer *contract.Answer
	var err error
	peer := net.JoinHostPort(listing.IP(), d.linkPort)
	// The boot time is read before the send: if the link is re-established in the
	// meantime, it leads to a process with another boot time, and a fence request then
	// proves nothing.
	boot := d.peers.BootMillis(peer)
	sentAt := time.Now()
	if listing.Address == d.hop.address {
		r.BodyBuffered = t.body.Buffered()
		answer, err = d.hop.Run(ctx, r)
		if err != nil {
			answer = &contract.Answer{Load: d.hop.Load()}
		}
		answer.GateTime = time.Since(sentAt)
	} else {
		answer, err = d.peers.Do(ctx, peer, r)
	}
	now := time.Now()
	if err == nil {
		if r.ContentLength >= 0 && r.ContentLength < contract.LargeAnswerBytes {
			// The gate's time for a larger body is mostly its transfer.
			d.balancer.RecordWork(r.Route, answer.GateTime, &answer.Load)
		}
		d.balancer.Finish(listing.ID, &answer.Load, now.Sub(sentAt)-answer.GateTime, now)
		if d.headers.ReadServerNotice(answer.Header).Leaving {
			// The gate may be of a build that does not read this, or restart and forget it.
			d.markLeaving(listing.Server)
		}
		t.results <- result{listing: listing, answer: answer, hedge: r.Hedge, took: now.Sub(sentAt)}
		return
	}
	var load *contract.Load
	delay := now.Sub(sentAt)
	if answer != nil {
		load = &answer.Load
		delay -= answer.GateTime
	}
	d.balancer.Finish(listing.ID, load, delay, now)
	failure := verdict.FromError(err)
	d.avoidAfter(failure, listing, r, now)
	if failure.Reason == verdict.ReasonConnectionLost && load == nil && listing.Address != d.hop.address {
		refusal := verdict.Refuse(verdict.ReasonUnreachable, shortRetryAfter)
		if broken := r.Body.(*attemptReader).failure(); broken != nil {
			// The entry ended the stream itself; the link carries other requests.
			refusal = verdict.Refuse(broken.Reason, shortRetryAfter)
		} else if !errors.Is(failure.Cause, exchange.ErrStreamEnded) {
			d.balancer.Eject(listing.ID, now.Add(unreachableEjectionTime), now)
			d.peers.DropLink(peer)
		}
		failure = t.fence(ctx, listing, peer, boot, failure, refusal)
	}
	t.results <- result{listing: listing, err: failure, hedge: r.Hedge}
}

// avoidAfter keeps requests from a server as far as the failure of one shows that others
// would fail, too.
func (d *Dispatcher) avoidAfter(failure *verdict.Error, listing *catalog.Listing, r *contract.Request, now time.Time) {
	switch failure.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonLacksResource:
		if !errors.Is(failure.Cause, link.ErrRawText) {
			d.balancer.Eject(listing.ID, now.Add(unreachableEjectionTime), now)
		}
	case verdict.ReasonOverloaded, verdict.ReasonCold:
		d.balancer.MarkFull(listing.ID, admissionClass(r), now.Add(failure.RetryAfter), now)
	case verdict.ReasonLeaving:
		d.balancer.MarkClosed(listing.ID, now.Add(leavingEjectionTime), now)
	}
}

// admissionClass groups the requests that a full gate treats alike: it may queue a
// request that it would not start at once, and refuse a hedged request that it would
// accept as a first attempt. Nested calls of one route have the ranks of their runs, and a
// gate that refuses the less urgent ones may have room for the others.
func admissionClass(r *contract.Request) string {
	class := r.Route
	if r.Nested {
		class += " call " + strconv.Itoa(r.Rank)
	}
	switch {
	case r.Hedge:
		return class + " spare"
	case r.HasPriorWork && r.Nested && r.AllowDelay:
		return class + " invested settling"
	case r.HasPriorWork:
		return class + " invested"
	case r.AllowDelay:
		return class + " settling"
	default:
		return class
	}
}

// fence turns the loss of a stream into a refusal, if the gate is still reachable and never
// handed the request over.
func (t *task) fence(ctx context.Context, listing *catalog.Listing, peer string, boot int64, lost, refusal *verdict.Error) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	handedOver, err := t.dispatcher.peers.Fence(ctx, peer, t.request.ID, boot)
	t.dispatcher.logger.Info().Str("part", "entry").Str("request", t.request.ID).Str("server", string(listing.ID)).
		Bool("handed_over", handedOver).AnErr("cause", err).Str("refusal", refusal.Reason.String()).Msg("link lost, asked the gate")
	if err != nil || handedOver {
		return lost
	}
	// Proof: the gate will never hand this ID to its server.
	return refusal
}
