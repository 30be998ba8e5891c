package sidecar

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"boragefall/internal/balance"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/verdict"
)

const (
	// maxReroutes bounds the gates that may refuse one request before the caller is
	// refused; each refusal costs a round trip.
	maxReroutes = 6
	// maxCallReroutes is that bound for a nested call: a refusal costs a round trip, the
	// failure of the call the whole work of its run.
	maxCallReroutes = 12
	// maxPromptAttempts is the number of gates tried for an immediate start; after
	// that, a gate is sought that queues the request. Two choices find most free slots,
	// and each further one costs small hosts more than it finds.
	maxPromptAttempts = 2
	// minRemaining is the least remaining time for which a further server is tried.
	minRemaining = 20 * time.Millisecond
	// noServerRetryAfter is the time in which a service without a server may get one:
	// entries of the store arrive within about a second.
	noServerRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the time in which callers switch from a node that is about to
	// end to another one.
	stoppingRetryAfter = 500 * time.Millisecond
	// retryAfterJitter is the share by which retry delays are varied, so that refused
	// callers do not retry at the same time.
	retryAfterJitter = 0.5
)

// task is one request in progress.
type task struct {
	dispatcher *Dispatcher
	request    *contract.Request
	route      *mesh.Route
	body       Body
	// results has no buffer, so that no number of attempts sizes it: run, or cancelExcept
	// after it, receives the result of each attempt.
	results chan result
	// cancels cancels each attempt, by the server that it was sent to.
	cancels map[mesh.ServerID]context.CancelFunc
	running int
	// attempts counts the attempts that may have run, serverRefusals those that a
	// server reported as not run.
	attempts, serverRefusals int
	reroutes                 int
	tried                    []mesh.ServerID
	// startedOver reports that all gates that were tried were made eligible again.
	startedOver bool
	// failedAnswer is a server's 5xx answer, kept while a retry is in progress.
	failedAnswer *contract.Answer
	// answeredBy is the server whose answer is forwarded.
	answeredBy mesh.ServerID
	// lastRefusal is the latest refusal of a gate.
	lastRefusal *verdict.Error
	// roomAt is the earliest time at which a gate that refused for lack of room expects
	// some; zero while none did.
	roomAt time.Time
	// lostErr is the error of an attempt that may have run.
	lostErr *verdict.Error
}

// result is the outcome of one attempt.
type result struct {
	listing *catalog.Listing
	answer  *contract.Answer
	err     *verdict.Error
	// hedge reports whether the attempt was a hedged request.
	hedge bool
	// took is the time from the send until the answer or failure.
	took time.Duration
}

// run starts attempts until one is answered or no further one is permitted.
func (t *task) run(ctx context.Context) (*contract.Answer, *verdict.Error) {
	refusal := t.startAttempt(ctx)
	if refusal != nil && refusal.Reason == verdict.ReasonOverloaded {
		// According to their latest load, no gate would start the request at once; one
		// may queue it.
		refusal = t.startQueued(ctx)
	}
	if refusal != nil {
		refusal.RetryAfter = t.jitteredRetryAfter(refusal.RetryAfter)
		return nil, refusal
	}
	hedge := t.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case res := <-t.results:
			t.running--
			answer, done, err := t.handleResult(ctx, res)
			if done {
				return answer, err
			}
		case <-hedge.C:
			t.hedge(ctx)
		case <-ctx.Done():
			return nil, t.expired(ctx)
		}
	}
}

// expired returns the error of a request whose deadline has passed or whose caller
// canceled.
func (t *task) expired(ctx context.Context) *verdict.Error {
	reason := verdict.ReasonCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(t.request.Deadline) {
		reason = verdict.ReasonDeadline
	}
	if t.running == 0 && t.lostErr == nil && t.failedAnswer == nil {
		// Proof: every attempt so far ended with its own proof that it did not run.
		return verdict.New(verdict.NotRun, reason, ctx.Err())
	}
	return verdict.New(verdict.MayHaveRun, reason, ctx.Err())
}

// startAttempt sends the request to the best server not tried yet. It returns a refusal
// if there is none.
func (t *task) startAttempt(ctx context.Context) *verdict.Error {
	now := time.Now()
	if !t.dispatcher.drain.permits(now, t.expectedTime()) {
		// Proof: this attempt was sent to no server.
		return verdict.Refuse(verdict.ReasonLeaving, stoppingRetryAfter)
	}
	view := t.dispatcher.view()
	request := t.dispatcher.balanceRequest(view, t.request, t.route.Name, now)
	request.Excluded = t.tried
	listing, fullFor := t.dispatcher.balancer.Choose(view.Usable[t.request.Service], request, now)
	if listing == nil && fullFor > 0 {
		t.expectRoom(now.Add(fullFor))
		// Proof: this attempt was sent to no server.
		return verdict.Refuse(verdict.ReasonOverloaded, fullFor)
	}
	if listing == nil {
		// Proof: this attempt was sent to no server.
		return verdict.Refuse(verdict.ReasonLacksResource, noServerRetryAfter)
	}
	reader, ok := t.body.Open()
	if !ok {
		t.dispatcher.balancer.Finish(listing.ID, nil, 0, now)
		// Proof: the body was streamed to an earlier attempt, so this one is not sent.
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, nil)
	}
	t.tried = append(t.tried, listing.ID)
	outgoing := *t.request
	if !t.body.Buffered() {
		reader = &drainLimitedBody{Reader: reader, drain: t.dispatcher.drain, expectedTime: t.expectedTime()}
	}
	outgoing.Body = &attemptReader{Reader: reader}
	outgoing.Deadline = t.dispatcher.drain.limit(t.request.Deadline)
	outgoing.Server = string(listing.ID)
	outgoing.HostListEra, outgoing.HostListRevision = listing.Version.Era, listing.Version.Revision
	outgoing.CrossesDataCentres = listing.DataCentre != t.dispatcher.dataCentre
	outgoing.RateLimit = t.dispatcher.balancer.RateLimit(listing.ID)
	outgoing.Attempt = t.attempts + t.serverRefusals
	t.running++
	t.attempts++
	ctx, t.cancels[listing.ID] = context.WithCancel(ctx)
	go t.attempt(ctx, listing, &outgoing)
	return nil
}

// balanceRequest describes a request to the balancer.
func (d *Dispatcher) balanceRequest(view *catalog.View, r *contract.Request, route string, now time.Time) balance.Request {
	return balance.Request{
		BodyBytes: r.ContentLength, AnswerBytes: d.answerSizes.Estimate(route), Objective: r.Objective.Sub(now),
		LocalAddress: d.hop.address, Route: route, Class: admissionClass(r),
		ColdRate: view.Config.Services[r.Service].ColdRate, Senders: len(view.Servers),
	}
}

// handleResult decides how to proceed after an attempt. done reports that the request
// has ended.
func (t *task) handleResult(ctx context.Context, res result) (answer *contract.Answer, done bool, final *verdict.Error) {
	if res.err == nil {
		return t.handleAnswer(ctx, res)
	}
	t.logFailure(res)
	t.dispatcher.meter.Attempted(res.err.Reason.String())
	if res.err.Verdict == verdict.NotRun {
		t.attempts--
		if res.err.Reason == verdict.ReasonServerRefused {
			t.serverRefusals++
		}
		if res.hedge && t.running > 0 {
			// There is no spare capacity; the first server may still answer.
			if res.err.Reason != verdict.ReasonServerRefused {
				t.dispatcher.retryBudgetFor(t.request.Service).Refund()
			}
			return nil, false, nil
		}
		t.lastRefusal = res.err
		if isFull(res.err) {
			t.expectRoom(time.Now().Add(res.err.RetryAfter))
		}
		return t.reroute(ctx)
	}
	t.lostErr = res.err
	if t.request.Idempotent && t.takeRetry() && t.startAttempt(ctx) == nil {
		return nil, false, nil
	}
	if t.running > 0 {
		return nil, false, nil
	}
	return t.finish()
}

func (t *task) handleAnswer(ctx context.Context, res result) (*contract.Answer, bool, *verdict.Error) {
	failed := res.answer.Status >= http.StatusInternalServerError
	if failed && t.request.Idempotent {
		t.dispatcher.meter.Attempted("server_failure")
		t.keepFailedAnswer(res)
		if t.takeRetry() && t.startAttempt(ctx) == nil || t.running > 0 {
			return nil, false, nil
		}
		return t.finish()
	}
	t.dispatcher.meter.Attempted("answered")
	t.dispatcher.answerTimes.Observe(t.route.Name, res.took)
	t.answeredBy = res.listing.ID
	return res.answer, true, nil
}

// keepFailedAnswer keeps the latest 5xx answer in case no better one arrives.
func (t *task) keepFailedAnswer(res result) {
	if t.failedAnswer != nil {
		_ = t.failedAnswer.Body.Close() // only the latest one is forwarded
	}
	t.failedAnswer, t.answeredBy = res.answer, res.listing.ID
}

// reroute tries another server after a refusal. When all were tried, some are tried once
// more.
func (t *task) reroute(ctx context.Context) (*contract.Answer, bool, *verdict.Error) {
	t.reroutes++
	if t.lastRefusal.Reason == verdict.ReasonQuarantined {
		t.dispatcher.quarantined.add(t.request.Fingerprint, time.Now())
		return t.finish()
	}
	// A request that a server refused counts as a retry when it reaches another server.
	if t.lastRefusal.Reason == verdict.ReasonServerRefused && !t.dispatcher.retryBudgetFor(t.request.Service).TryWithdraw() {
		return t.finishUnlessRunning()
	}
	if t.reroutes <= t.maxReroutes() && t.remaining() > minRemaining && ctx.Err() == nil {
		if (t.reroutes < maxPromptAttempts || t.request.AllowDelay) && t.startAttempt(ctx) == nil {
			return nil, false, nil
		}
		if t.running == 0 && t.mayStartOver() && t.startQueued(ctx) == nil {
			return nil, false, nil
		}
	}
	return t.finishUnlessRunning()
}

// mayStartOver reports whether gates that were tried may be tried again: those that refused
// an immediate start may queue the request, and one that could not be reached may be
// back. No gate is asked more than twice.
func (t *task) mayStartOver() bool {
	if !t.request.AllowDelay {
		return true
	}
	return !t.startedOver && (t.request.Nested || t.lastRefusal.Reason == verdict.ReasonUnreachable)
}

// startQueued sends the request to a gate that may queue it, preferring the gates that
// were not tried yet.
func (t *task) startQueued(ctx context.Context) *verdict.Error {
	t.request.AllowDelay = true
	if t.startAttempt(ctx) == nil {
		return nil
	}
	t.tried, t.startedOver = nil, true
	return t.startAttempt(ctx)
}

// finishUnlessRunning ends the request unless attempts are still in progress.
func (t *task) finishUnlessRunning() (*contract.Answer, bool, *verdict.Error) {
	if t.running > 0 {
		return nil, false, nil
	}
	return t.finish()
}

// finish returns the final answer or error of a request that is not sent again.
func (t *task) finish() (*contract.Answer, bool, *verdict.Error) {
	switch {
	case t.failedAnswer != nil:
		return t.failedAnswer, true, nil
	case t.lostErr != nil:
		return nil, true, t.lostErr
	default:
		refusal := *t.lastRefusal
		if isFull(&refusal) {
			refusal.RetryAfter = time.Until(t.roomAt)
		}
		refusal.RetryAfter = t.jitteredRetryAfter(refusal.RetryAfter)
		return nil, true, &refusal
	}
}

// expectRoom records that a gate that refused the request expects room at a given time.
func (t *task) expectRoom(at time.Time) {
	if t.roomAt.IsZero() || at.Before(t.roomAt) {
		t.roomAt = at
	}
}

// isFull reports whether a gate refused for lack of room.
func isFull(e *verdict.Error) bool {
	return e.Reason == verdict.ReasonOverloaded || e.Reason == verdict.ReasonCold
}

// jitteredRetryAfter varies the delay after which a refused caller may retry.
func (t *task) jitteredRetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, shortRetryAfter)
	return wait + time.Duration(rand.Float64()*retryAfterJitter*float64(wait))
}

// maxReroutes returns how many gates may refuse the request.
func (t *task) maxReroutes() int {
	if t.request.Nested {
		return maxCallReroutes
	}
	return maxReroutes
}

func (t *task) remaining() time.Duration {
	return time.Until(t.request.Deadline)
}

// expectedTime returns the time in which an attempt is expected to be answered: the route's
// objective until an answer was seen.
func (t *task) expectedTime() time.Duration {
	return t.dispatcher.expectedTime(t.route)
}

func (d *Dispatcher) expectedTime(route *mesh.Route) time.Duration {
	if estimate, ok := d.answerTimes.Estimate(route.Name); ok {
		return estimate
	}
	return route.Objective
}

// takeRetry reports whether a request that may have run may be sent to one more server,
// and takes the retry from the budget.
func (t *task) takeRetry() bool {
	return t.attempts < t.route.MaxAttempts && t.remaining() > minRemaining && t.dispatcher.retryBudgetFor(t.request.Service).TryWithdraw()
}

func (t *task) logFailure(res result) {
	t.dispatcher.logger.Info().Str("part", "entry").Str("request", t.request.ID).Str("route", t.route.Name).
		Str("server", string(res.listing.ID)).Str("verdict", res.err.Verdict.String()).
		Str("reason", res.err.Reason.String()).AnErr("cause", res.err.Cause).Int("moves", t.reroutes).Msg("attempt failed")
}

// cancelExcept cancels all attempts except the one whose answer is forwarded, and
// discards their results.
func (t *task) cancelExcept(answer *contract.Answer) {
	for id, cancel := range t.cancels {
		if answer == nil || id != t.answeredBy {
			cancel()
		}
	}
	if t.failedAnswer != nil && t.failedAnswer != answer {
		_ = t.failedAnswer.Body.Close() // replaced by a better answer, or the caller canceled
	}
	t.failedAnswer = nil // closed, or owned by the caller from now on
	running := t.running
	t.running = 0
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if res := <-t.results; res.answer != nil {
				_ = res.answer.Body.Close() // the answer is not used
			}
		}
	}()
}

// cancelingBody ends the request when its answer is closed.
type cancelingBody struct {
	io.ReadCloser
	onClose func()
}

// Close closes the answer and ends the request.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
