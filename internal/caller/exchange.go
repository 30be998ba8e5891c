package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/idempotency"
	"boragefall/internal/routing"
	"boragefall/internal/verdict"
)

// exchange is one request of a caller under way.
type exchange struct {
	handler *Handler
	c       *gin.Context
	started time.Time
	request *contract.Request
	route   *routing.Route
}

// run serves the request. A refusal means that nothing was written yet.
func (x *exchange) run(ctx context.Context) *verdict.Error {
	if refusal := x.match(); refusal != nil {
		return refusal
	}
	end, refusal := x.handler.cfg.Fairness.Admit(x.request.Caller, x.started)
	if refusal != nil {
		return refusal
	}
	defer end()
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	body, refusal := x.takeBody(ctx)
	if refusal != nil {
		return refusal
	}
	defer body.Close()
	if refusal := x.setKey(body); refusal != nil {
		return refusal
	}
	answer, err := x.handler.cfg.Dispatcher.Do(ctx, x.request, body, *x.route.Retries)
	if err != nil {
		return verdict.Of(err)
	}
	x.answer(answer)
	return nil
}

// match fills the request from the HTTP request and its route.
func (x *exchange) match() *verdict.Error {
	in := x.c.Request
	view := x.handler.cfg.View()
	if view == nil {
		// Proof: without a configuration nothing is ever sent.
		return verdict.Refuse(verdict.ReasonNoRoute, time.Second)
	}
	route, ok := view.Table.Match(routing.MatchRequest{
		Method: in.Method, Host: in.Host, Path: in.URL.Path, Header: in.Header.Get,
	})
	if !ok {
		// Proof: without a route nothing is sent.
		return verdict.Refuse(verdict.ReasonNoRoute, 0)
	}
	x.route = route
	r := x.request
	r.Caller = callerName(in)
	r.Method, r.URI, r.Host = in.Method, in.URL.RequestURI(), in.Host
	r.Header = contract.EndToEnd(in.Header)
	r.Route, r.Service = route.Name, route.Service
	r.Idempotent, r.Priority = route.Idempotent, route.Priority
	r.Attempt = number(in.Header, contract.HeaderAttempt)
	r.Hops = number(in.Header, contract.HeaderHops) + 1
	r.Config = view.Version
	r.ContentLength = in.ContentLength
	r.Trailer = in.Trailer
	r.Deadline = x.started.Add(x.budget(route))
	if r.Hops > contract.HopLimit {
		// Proof: nothing was sent.
		return verdict.Refuse(verdict.ReasonHopLimit, 0)
	}
	return nil
}

// budget is the route's timeout, or less when the request is nested in one
// with less time left.
func (x *exchange) budget(route *routing.Route) time.Duration {
	budget := route.Timeout.Std()
	if ms := number(x.c.Request.Header, contract.HeaderDeadline); ms > 0 {
		budget = min(budget, time.Duration(ms)*time.Millisecond)
	}
	return budget
}

// takeBody reads the body before any server's slot is taken, as far as the
// memory for it goes.
func (x *exchange) takeBody(ctx context.Context) (*Body, *verdict.Error) {
	body, err := x.handler.cfg.Bodies.Take(ctx, x.c.Request)
	if err != nil {
		// Proof: nothing was sent.
		return nil, verdict.New(verdict.NotRun, bodyReason(ctx), err)
	}
	if body.Whole() {
		digest := body.Digest()
		x.request.Digest = digest[:]
		x.request.ContentLength = body.Size()
	}
	x.request.Fingerprint = fingerprint(x.request)
	return body, nil
}

func bodyReason(ctx context.Context) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCanceled
	default:
		return verdict.ReasonBadRequest
	}
}

// fingerprint recognises a request that is sent again, under the same key or
// another.
func fingerprint(r *contract.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Caller, r.Method, r.URI, string(r.Digest)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// setKey applies the route's key policy. A request that is not idempotent
// always gets a key; one that the entry mints is known to nobody else.
func (x *exchange) setKey(body *Body) *verdict.Error {
	r := x.request
	if r.Idempotent {
		return nil
	}
	key, refusal := x.key(body)
	if refusal != nil {
		return refusal
	}
	r.Key = idempotency.Scoped(r.Caller, key)
	r.KeyTime = key.Time
	r.KeyMinted = key.Minted
	return nil
}

func (x *exchange) key(body *Body) (idempotency.Key, *verdict.Error) {
	now := time.Now()
	if text := x.c.Request.Header.Get(contract.HeaderKey); text != "" {
		key, err := idempotency.Parse(text, now)
		if errors.Is(err, idempotency.ErrAhead) {
			// Proof: no gate runs a key that is so far ahead of every clock.
			return key, verdict.Refuse(verdict.ReasonKeyRequired, key.Ahead(now))
		}
		if err != nil {
			// Proof: nothing was sent.
			return key, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, err)
		}
		return key, nil
	}
	switch x.route.Key {
	case config.KeyRequired, config.KeyTimed:
		// Proof: nothing was sent.
		return idempotency.Key{}, verdict.Refuse(verdict.ReasonKeyRequired, 0)
	case config.KeyDigest:
		if body.Whole() {
			return idempotency.Digest(x.request.Caller, x.request.Method, x.request.URI, body.Bytes()), nil
		}
	}
	return idempotency.Mint(now), nil
}

// statuses gives each reason its HTTP status; others are 503.
var statuses = map[verdict.Reason]int{
	verdict.ReasonNoRoute:        http.StatusNotFound,
	verdict.ReasonDeadline:       http.StatusGatewayTimeout,
	verdict.ReasonHopLimit:       http.StatusLoopDetected,
	verdict.ReasonConnectionLost: http.StatusBadGateway,
	verdict.ReasonCutAnswer:      http.StatusBadGateway,
	verdict.ReasonKeyConflict:    http.StatusUnprocessableEntity,
	verdict.ReasonKeyRequired:    http.StatusBadRequest,
	verdict.ReasonBadRequest:     http.StatusBadRequest,
	verdict.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	verdict.ReasonAnswerLost:     http.StatusConflict,
}
