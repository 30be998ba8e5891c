package sidecar

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
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
	// refused; each costs a way there and back.
	maxReroutes = 6
	// maxPromptAttempts is the number of gates that are asked for a prompt start; then one
	// that lets the request wait is looked for. Two choices find most free slots, and each
	// further one costs small hosts more than it finds.
	maxPromptAttempts = 2
	// unreachableEjectionTime is how long an entry passes over a server whose node it
	// could not reach.
	unreachableEjectionTime = time.Second
	// leavingEjectionTime is how long an entry does not ask a gate that is closed: its
	// server leaves for good, or its node is back after about as long.
	leavingEjectionTime = time.Second
	// minRemaining is the least time left in which a further server is tried.
	minRemaining = 20 * time.Millisecond
	// fenceTimeout bounds the question whether a request was handed over.
	fenceTimeout = 300 * time.Millisecond
	// noServerRetryAfter is when a service without a server may have one: entries of
	// the store arrive within about a second.
	noServerRetryAfter = 300 * time.Millisecond
	// retryAfterJitter is the share by which the times to come back are varied, so
	// that refused callers do not return together.
	retryAfterJitter = 0.5
)

// task is one request under way.
type task struct {
	dispatcher *Dispatcher
	request    *contract.Request
	route      *mesh.Route
	body       Body
	results    chan result
	// cancels end the attempts, by the server that they went to.
	cancels map[mesh.ServerID]context.CancelFunc
	running int
	// attempts counts the attempts that may have run, serverRefusals those that a server did
	// not run by its own word.
	attempts, serverRefusals int
	reroutes                 int
	tried                    []mesh.ServerID
	// failedAnswer is the server's own failing answer, kept while a repeat runs.
	failedAnswer *contract.Answer
	// answeredBy is the server whose answer is passed on.
	answeredBy mesh.ServerID
	// lastRefusal is the last lastRefusal of a gate.
	lastRefusal *verdict.Error
	// lostErr is the error of an attempt that may have run.
	lostErr *verdict.Error
}

// result is the end of one attempt.
type result struct {
	listing *catalog.Listing
	answer  *contract.Answer
	err     *verdict.Error
	// hedge reports that it was a second attempt beside a silent server.
	hedge bool
}

// run starts attempts until one is answered or no further one is permitted.
func (t *task) run(ctx context.Context) (*contract.Answer, *verdict.Error) {
	refusal := t.startAttempt(ctx)
	if refusal != nil && refusal.Reason == verdict.ReasonOverloaded {
		// No gate starts it promptly, by what they said lately; one may let it wait.
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

// expired is the end of a request whose time is over or whose caller left.
func (t *task) expired(ctx context.Context) *verdict.Error {
	reason := verdict.ReasonCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(t.request.Deadline) {
		reason = verdict.ReasonDeadline
	}
	if t.running == 0 && t.lostErr == nil && t.failedAnswer == nil {
		// Proof: every attempt so far ended with a proof of its own.
		return verdict.New(verdict.NotRun, reason, ctx.Err())
	}
	return verdict.New(verdict.MayHaveRun, reason, ctx.Err())
}

// startAttempt sends the request to the best server that was not tried yet. It
// returns a refusal when there is none.
func (t *task) startAttempt(ctx context.Context) *verdict.Error {
	now := time.Now()
	view := t.dispatcher.view()
	candidates := view.Usable[t.request.Service]
	listing, fullFor := t.dispatcher.balancer.Choose(candidates, balance.Request{
		BodyBytes: t.request.ContentLength, AnswerBytes: t.dispatcher.answerSizes.estimate(t.route.Name), Objective: t.request.Objective.Sub(now), LocalAddress: t.dispatcher.hop.address, Excluded: t.tried, Class: admissionClass(t.request),
		ColdRate: view.Config.Services[t.request.Service].ColdRate, Senders: len(view.Servers),
	}, now)
	if listing == nil && fullFor > 0 {
		// Proof: this attempt was sent nowhere.
		return verdict.Refuse(verdict.ReasonOverloaded, fullFor)
	}
	if listing == nil {
		// Proof: this attempt was sent nowhere.
		return verdict.Refuse(verdict.ReasonLacksResource, noServerRetryAfter)
	}
	reader, ok := t.body.Open()
	if !ok {
		t.dispatcher.balancer.Finish(listing.ID, nil, 0, now)
		// Proof: the body was streamed to an earlier attempt, this one sends none.
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, nil)
	}
	t.tried = append(t.tried, listing.ID)
	outgoing := *t.request
	outgoing.Body = reader
	outgoing.Server = string(listing.ID)
	outgoing.HostListRevision = listing.Revision
	outgoing.Attempt = t.attempts + t.serverRefusals
	t.running++
	t.attempts++
	ctx, t.cancels[listing.ID] = context.WithCancel(ctx)
	go t.attempt(ctx, listing, &outgoing)
	return nil
}

func (t *task) attempt(ctx context.Context, listing *catalog.Listing, r *contract.Request) {
	d := t.dispatcher
	var answer *contract.Answer
	var err error
	peer := net.JoinHostPort(listing.IP(), d.linkPort)
	// Read before the send: a link that is made anew meanwhile leads to another
	// process than this names, and then nothing is proved.
	boot := d.peers.Boot(peer)
	sentAt := time.Now()
	if listing.Address == d.hop.address {
		r.BodyHeld = t.body.Buffered()
		answer, err = d.hop.Run(ctx, r)
		if err != nil {
			answer = &contract.Answer{Load: d.hop.Load()}
		}
		answer.Held = time.Since(sentAt)
	} else {
		answer, err = d.peers.Do(ctx, peer, r)
	}
	now := time.Now()
	if err == nil {
		d.balancer.Finish(listing.ID, &answer.Load, now.Sub(sentAt)-answer.Held, now)
		t.results <- result{listing: listing, answer: answer, hedge: r.Spare}
		return
	}
	var load *contract.Load
	delay := now.Sub(sentAt)
	if answer != nil {
		load = &answer.Load
		delay -= answer.Held
	}
	d.balancer.Finish(listing.ID, load, delay, now)
	failure := verdict.Of(err)
	switch failure.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonLacksResource:
		d.balancer.Eject(listing.ID, now.Add(unreachableEjectionTime), now)
	case verdict.ReasonOverloaded, verdict.ReasonCold:
		d.balancer.MarkFull(listing.ID, admissionClass(r), now.Add(failure.RetryAfter), now)
	case verdict.ReasonLeaving:
		d.balancer.MarkClosed(listing.ID, now.Add(leavingEjectionTime), now)
	}
	if failure.Reason == verdict.ReasonConnectionLost && load == nil && listing.Address != d.hop.address {
		d.balancer.Eject(listing.ID, now.Add(unreachableEjectionTime), now)
		failure = t.fence(ctx, listing, peer, boot, failure)
	}
	t.results <- result{listing: listing, err: failure, hedge: r.Spare}
}

// admissionClass groups the requests that a full gate treats alike: it may let one wait that
// it would not start at once, and refuse a second copy of one that it would.
func admissionClass(r *contract.Request) string {
	switch {
	case r.Spare:
		return r.Route + " spare"
	case r.Invested:
		return r.Route + " invested"
	case r.Settle:
		return r.Route + " settling"
	default:
		return r.Route
	}
}

// fence turns the loss of a link into a proof that the request did not run, when
// the gate can still be asked and never handed it over.
func (t *task) fence(ctx context.Context, listing *catalog.Listing, peer string, boot int64, lost *verdict.Error) *verdict.Error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	handedOver, err := t.dispatcher.peers.Fence(ctx, peer, t.request.ID, boot)
	t.dispatcher.logger.Info().Str("part", "entry").Str("request", t.request.ID).Str("server", string(listing.ID)).
		Bool("handed_over", handedOver).AnErr("cause", err).Msg("link lost, asked the gate")
	if err != nil || handedOver {
		return lost
	}
	// Proof: the gate will never hand this id to its server.
	return verdict.Refuse(verdict.ReasonUnreachable, shortRetryAfter)
}

// handleResult decides after an attempt. done reports that the request is over.
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
			// There is no spare room; the first server may still answer.
			if res.err.Reason != verdict.ReasonServerRefused {
				t.dispatcher.retryBudgetFor(t.request.Service).Refund()
			}
			return nil, false, nil
		}
		t.lastRefusal = res.err
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
	t.answeredBy = res.listing.ID
	return res.answer, true, nil
}

// keepFailedAnswer keeps the last failing answer in case nothing better comes.
func (t *task) keepFailedAnswer(res result) {
	if t.failedAnswer != nil {
		_ = t.failedAnswer.Body.Close() // only the last one is passed on
	}
	t.failedAnswer, t.answeredBy = res.answer, res.listing.ID
}

// reroute tries another server after a refusal. When all were tried, those that
// refused a late answer are asked once more.
func (t *task) reroute(ctx context.Context) (*contract.Answer, bool, *verdict.Error) {
	t.reroutes++
	if t.lastRefusal.Reason == verdict.ReasonQuarantined {
		return t.finish()
	}
	// A request that reached a server and was refused there counts as a repeat
	// when it reaches another.
	if t.lastRefusal.Reason == verdict.ReasonServerRefused && !t.dispatcher.retryBudgetFor(t.request.Service).TryWithdraw() {
		return t.finishUnlessRunning()
	}
	if t.reroutes <= maxReroutes && t.remaining() > minRemaining && ctx.Err() == nil {
		if (t.reroutes < maxPromptAttempts || t.request.Settle) && t.startAttempt(ctx) == nil {
			return nil, false, nil
		}
		if !t.request.Settle && t.running == 0 && t.startQueued(ctx) == nil {
			return nil, false, nil
		}
	}
	return t.finishUnlessRunning()
}

// startQueued looks for a gate that lets the request wait, first among those that were not
// asked yet.
func (t *task) startQueued(ctx context.Context) *verdict.Error {
	t.request.Settle = true
	if t.startAttempt(ctx) == nil {
		return nil
	}
	t.tried = nil
	return t.startAttempt(ctx)
}

// finishUnlessRunning waits for the attempts that still run, if any.
func (t *task) finishUnlessRunning() (*contract.Answer, bool, *verdict.Error) {
	if t.running > 0 {
		return nil, false, nil
	}
	return t.finish()
}

// finish returns the final answer or error of a request that goes nowhere else.
func (t *task) finish() (*contract.Answer, bool, *verdict.Error) {
	switch {
	case t.failedAnswer != nil:
		return t.failedAnswer, true, nil
	case t.lostErr != nil:
		return nil, true, t.lostErr
	default:
		refusal := *t.lastRefusal
		refusal.RetryAfter = t.jitteredRetryAfter(refusal.RetryAfter)
		return nil, true, &refusal
	}
}

// jitteredRetryAfter varies the time after which a refused caller may return.
func (t *task) jitteredRetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, shortRetryAfter)
	return wait + time.Duration(rand.Float64()*retryAfterJitter*float64(wait))
}

func (t *task) remaining() time.Duration {
	return time.Until(t.request.Deadline)
}

// takeRetry reports whether a request that may have run may go to one more
// server, and takes the repeat off the budget.
func (t *task) takeRetry() bool {
	return t.attempts < t.route.MaxAttempts && t.remaining() > minRemaining && t.dispatcher.retryBudgetFor(t.request.Service).TryWithdraw()
}

func (t *task) logFailure(res result) {
	t.dispatcher.logger.Info().Str("part", "entry").Str("request", t.request.ID).Str("route", t.route.Name).
		Str("server", string(res.listing.ID)).Str("verdict", res.err.Verdict.String()).
		Str("reason", res.err.Reason.String()).AnErr("cause", res.err.Cause).Int("moves", t.reroutes).Msg("attempt failed")
}

// cancelExcept cancels all attempts but the one whose answer is passed on, and
// discards what they still bring.
func (t *task) cancelExcept(answer *contract.Answer) {
	for id, cancel := range t.cancels {
		if answer == nil || id != t.answeredBy {
			cancel()
		}
	}
	if t.failedAnswer != nil && t.failedAnswer != answer {
		_ = t.failedAnswer.Body.Close() // replaced by a better answer, or the caller left
	}
	t.failedAnswer = nil // closed, or the caller's from now on
	running := t.running
	t.running = 0
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if res := <-t.results; res.answer != nil {
				_ = res.answer.Body.Close() // nobody waits for it
			}
		}
	}()
}

// cancelingBody ends the request with its answer.
type cancelingBody struct {
	io.ReadCloser
	onClose func()
}

// Close ends the answer.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
