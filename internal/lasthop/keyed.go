package lasthop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/gate"
	"boragefall/internal/idempotency"
	"boragefall/internal/ledger"
	"boragefall/internal/ownership"
	"boragefall/internal/verdict"
)

// maxDetachedBody is the largest body, in bytes, that is read completely before a keyed
// request starts. Such a request keeps running when its caller disconnects, so that a
// re-send finds the answer in the ledger.
const maxDetachedBody = 256 << 10

// runKeyed runs a request that any entry node may send again under the same key.
func (h *Hop) runKeyed(ctx context.Context, r *contract.Request, service config.Service) (*contract.Answer, error) {
	claim := newClaim(r, service)
	now := time.Now()
	decision := h.cfg.Ledger.Begin(ledger.Request{
		Key:           claim.Key,
		ScopedKey:     r.Key,
		Digest:        bodyDigest(r),
		ResendWindow:  service.ResendWindow.Std(),
		RefuseUntimed: h.cfg.Snapshot().Document.Routes[r.Route].Key == config.KeyTimed,
		Ownership:     h.cfg.Owner.MayRun(claim, now),
	}, now)
	return h.applyDecision(ctx, r, claim, decision)
}

func newClaim(r *contract.Request, service config.Service) ownership.Claim {
	return ownership.Claim{
		ScopedKey:      r.Key,
		Key:            idempotency.Key{Value: r.Key, Time: r.KeyTime, Minted: r.KeyMinted},
		FencedHosts:    r.FencedHosts,
		SenderRevision: r.HostListRevision,
		ResendWindow:   service.ResendWindow.Std(),
	}
}

func bodyDigest(r *contract.Request) [32]byte {
	var digest [32]byte
	copy(digest[:], r.BodyDigest)
	return digest
}

// applyDecision carries out the ledger's decision.
func (h *Hop) applyDecision(ctx context.Context, r *contract.Request, claim ownership.Claim, d ledger.Decision) (*contract.Answer, error) {
	switch d.Kind {
	case ledger.Run:
		return h.runEntry(ctx, r, claim, d.Entry)
	case ledger.Join:
		return h.join(ctx, r, claim, d.Entry)
	case ledger.Replay:
		return h.replay(d.Answer), nil
	default:
		return nil, d.Refusal
	}
}

// join waits for the running request with the same key.
func (h *Hop) join(ctx context.Context, r *contract.Request, claim ownership.Claim, entry *ledger.Entry) (*contract.Answer, error) {
	select {
	case <-entry.Done():
		return h.applyDecision(ctx, r, claim, entry.Result())
	case <-ctx.Done():
		return nil, contextError(ctx)
	}
}

func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, ctx.Err())
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, ctx.Err())
}

// keyedResult is the answer or the error of a keyed request.
type keyedResult struct {
	answer *contract.Answer
	err    error
}

// runEntry runs a key whose ledger entry was assigned to this request. If the body has been
// received completely, the run continues when the caller disconnects.
func (h *Hop) runEntry(ctx context.Context, r *contract.Request, claim ownership.Claim, entry *ledger.Entry) (*contract.Answer, error) {
	complete, err := bufferBody(r)
	if err != nil {
		// Proof: the body could not be read, so the request was not sent to the server.
		return nil, h.refuseEntry(claim, entry, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, err))
	}
	if !complete {
		result := h.execute(ctx, r, claim, entry)
		return result.answer, result.err
	}
	results := make(chan keyedResult)
	go func() {
		result := h.executeDetached(ctx, r, claim, entry)
		select {
		case results <- result:
		case <-ctx.Done():
			result.discard()
		}
	}()
	select {
	case result := <-results:
		return result.answer, result.err
	case <-ctx.Done():
		return nil, contextError(ctx)
	}
}

// executeDetached runs a key until its deadline, independent of the caller. The context of
// an answer is canceled only when its body is closed.
func (h *Hop) executeDetached(ctx context.Context, r *contract.Request, claim ownership.Claim, entry *ledger.Entry) keyedResult {
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	result := h.execute(detached, r, claim, entry)
	if result.answer == nil {
		cancel()
		return result
	}
	result.answer.Body = &detachedBody{ReadCloser: result.answer.Body, cancel: cancel}
	return result
}

// detachedBody is the body of an answer that the caller's context does not cancel.
type detachedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the run.
func (b *detachedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// discard closes an answer whose caller has disconnected.
func (r keyedResult) discard() {
	if r.answer != nil {
		_ = r.answer.Body.Close()
	}
}

// bufferBody reads a body of up to maxDetachedBody bytes into memory. It returns false for
// a longer body, which can then be read from its start as before.
func bufferBody(r *contract.Request) (bool, error) {
	head, err := io.ReadAll(io.LimitReader(r.Body, maxDetachedBody+1))
	if err != nil {
		return false, err
	}
	if len(head) <= maxDetachedBody {
		r.Body = bytes.NewReader(head)
		r.ContentLength = int64(len(head))
		return true, nil
	}
	r.Body = io.MultiReader(bytes.NewReader(head), r.Body)
	return false, nil
}

// execute admits the request, checks the ownership again, since it may have changed while
// the request was queued, and sends the request.
func (h *Hop) execute(ctx context.Context, r *contract.Request, claim ownership.Claim, entry *ledger.Entry) keyedResult {
	permit, err := h.cfg.Gate.Admit(ctx, h.admission(r))
	if err != nil {
		return keyedResult{err: h.refuseEntry(claim, entry, verdict.FromError(err))}
	}
	if refusal := h.cfg.Owner.MayRun(claim, time.Now()); refusal != nil {
		permit.Done(gate.Outcome{Kind: gate.OutcomeCanceled})
		entry.Finish(ledger.OutcomeOwnershipLost, nil, time.Now())
		return keyedResult{err: refusal}
	}
	answer, err := h.send(ctx, r, permit)
	if err != nil {
		return keyedResult{err: h.failEntry(claim, entry, verdict.FromError(err))}
	}
	return h.finishEntry(answer, entry)
}

// refuseEntry ends a key whose request was not sent to the server. The key is fenced if the
// request can go on to another host, and otherwise recorded as not run.
func (h *Hop) refuseEntry(claim ownership.Claim, entry *ledger.Entry, refusal *verdict.Error) *verdict.Error {
	now := time.Now()
	reported := *h.cfg.Owner.Refusal(claim, refusal, now)
	switch {
	case !h.cfg.Owner.LastRank(claim):
		entry.Finish(ledger.OutcomeFenced, nil, now)
		reported.Fenced = true
	case reported.Verdict == verdict.NotRun:
		entry.Finish(ledger.OutcomeNotRun, nil, now)
	default:
		entry.Finish(ledger.OutcomeOwnershipLost, nil, now)
	}
	return &reported
}

// failEntry ends a key whose request failed while it was sent to the server.
func (h *Hop) failEntry(claim ownership.Claim, entry *ledger.Entry, failure *verdict.Error) *verdict.Error {
	if failure.Verdict == verdict.NotRun {
		return h.refuseEntry(claim, entry, failure)
	}
	entry.Finish(ledger.OutcomeMayHaveRun, nil, time.Now())
	return failure
}

// finishEntry stores the answer in the ledger if it is short enough, and returns it.
func (h *Hop) finishEntry(answer *contract.Answer, entry *ledger.Entry) keyedResult {
	limit := h.cfg.Ledger.MaxAnswerBytes()
	head, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)+1))
	if err != nil {
		_ = answer.Body.Close()
		entry.Finish(ledger.OutcomeRan, nil, time.Now())
		return keyedResult{err: verdict.New(verdict.Ran, verdict.ReasonCutAnswer, err)}
	}
	if len(head) > limit {
		entry.Finish(ledger.OutcomeRan, nil, time.Now())
		answer.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(head), answer.Body), Closer: answer.Body}
		return keyedResult{answer: answer}
	}
	_ = answer.Body.Close()
	stored := storedAnswer(answer, head)
	entry.Finish(ledger.OutcomeRan, stored, time.Now())
	return keyedResult{answer: h.replay(stored)}
}

// prefixedBody is a body whose first bytes were read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func storedAnswer(a *contract.Answer, body []byte) *ledger.Answer {
	stored := &ledger.Answer{Status: a.Status, Body: body}
	for name, values := range a.Header {
		for _, value := range values {
			stored.Headers = append(stored.Headers, ledger.Header{Name: name, Value: value})
		}
	}
	return stored
}

// replay returns a stored answer.
func (h *Hop) replay(stored *ledger.Answer) *contract.Answer {
	header := make(http.Header, len(stored.Headers))
	for _, line := range stored.Headers {
		header.Add(line.Name, line.Value)
	}
	return &contract.Answer{
		Status:        stored.Status,
		Header:        header,
		Trailer:       func() http.Header { return nil },
		ContentLength: int64(len(stored.Body)),
		Load:          h.Load(),
		Body:          io.NopCloser(bytes.NewReader(stored.Body)),
	}
}
