package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/idempotency"
	"boragefall/internal/intake"
	"boragefall/internal/routing"
	"boragefall/internal/verdict"
)

// exchange is the state of one caller request in progress.
type exchange struct {
	handler *Handler
	c       *gin.Context
	started time.Time
	request *contract.Request
	route   *routing.Route
}

// run serves the request. When it returns a refusal, no part of the response has been
// written yet.
func (x *exchange) run(ctx context.Context) *verdict.Error {
	if refusal := x.matchRoute(); refusal != nil {
		return x.withUnknownOutcome(refusal)
	}
	ticket, err := x.handler.cfg.Admitter.Admit(x.request.Caller, x.started)
	if err != nil {
		return x.withUnknownOutcome(verdict.FromError(err))
	}
	defer ticket.Done()
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	body, err := x.receiveBody()
	if err != nil {
		return x.withUnknownOutcome(verdict.FromError(err))
	}
	defer body.Close()
	if refusal := x.setKey(body); refusal != nil {
		return refusal
	}
	answer, err := x.handler.cfg.Dispatcher.Do(ctx, x.request, body, *x.route.Retries)
	if err != nil {
		return verdict.FromError(err)
	}
	x.writeAnswer(answer)
	return nil
}

// withUnknownOutcome sets the verdict of a refusal by the entry node to MayHaveRun when
// the request is keyed, not idempotent and of an unsafe method. An earlier request with
// the same key may have run, and the entry node has no record of it.
func (x *exchange) withUnknownOutcome(refusal *verdict.Error) *verdict.Error {
	keyed := x.c.Request.Header.Get(contract.HeaderKey) != ""
	if keyed && !x.request.Idempotent && !isSafeMethod(x.c.Request.Method) {
		refusal.Verdict = verdict.MayHaveRun
	}
	return refusal
}

// isSafeMethod reports whether a method is read-only (RFC 9110, section 9.2.1).
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// matchRoute finds the route and fills in the request from the HTTP request and the route.
func (x *exchange) matchRoute() *verdict.Error {
	incoming := x.c.Request
	view := x.handler.cfg.View()
	if view == nil {
		// Proof: without a configuration no request is sent to a server.
		return verdict.Refuse(verdict.ReasonNoRoute, time.Second)
	}
	if hasDotSegments(incoming.URL.Path) {
		// Proof: the request was not sent. A server that resolves dot segments
		// could map such a path to a resource of another route.
		return verdict.Refuse(verdict.ReasonBadRequest, 0)
	}
	route, ok := view.Table.Match(routing.MatchRequest{
		Method: incoming.Method, Host: incoming.Host, Path: incoming.URL.Path, Header: incoming.Header.Get,
	})
	if !ok {
		// Proof: a request without a route is not sent.
		return verdict.Refuse(verdict.ReasonNoRoute, 0)
	}
	x.route = route
	r := x.request
	r.Caller = callerName(incoming)
	r.Method, r.URI, r.Host = incoming.Method, incoming.URL.RequestURI(), incoming.Host
	r.Header = contract.EndToEnd(incoming.Header)
	r.Route, r.Service = route.Name, route.Service
	r.Idempotent, r.Priority = route.Idempotent, route.Priority
	r.Attempt = headerNumber(incoming.Header, contract.HeaderAttempt)
	r.Hops = headerNumber(incoming.Header, contract.HeaderHops) + 1
	r.ConfigVersion = view.Version
	r.ContentLength = incoming.ContentLength
	r.Trailer = incoming.Trailer
	r.Deadline = x.started.Add(x.requestTimeout(route))
	if r.Hops > contract.HopLimit {
		// Proof: nothing was sent.
		return verdict.Refuse(verdict.ReasonHopLimit, 0)
	}
	return nil
}

// hasDotSegments reports whether a path holds a segment "." or "..".
func hasDotSegments(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// requestTimeout returns the route's timeout, or the remaining time of the parent
// request when the request is nested and that is shorter.
func (x *exchange) requestTimeout(route *routing.Route) time.Duration {
	timeout := route.Timeout.Std()
	if ms := headerNumber(x.c.Request.Header, contract.HeaderDeadline); ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return timeout
}

// receiveBody buffers the body before the request takes a slot of a server, as far as
// the memory budget for bodies allows. The rest of a larger body is streamed.
func (x *exchange) receiveBody() (*body, error) {
	received, err := x.handler.cfg.Bodies.Receive(intake.NewHTTPSource(x.c.Writer, x.c.Request), x.c.Request.ContentLength)
	if err != nil {
		return nil, err
	}
	b := &body{Body: received}
	if received.CanOpen() {
		x.request.BodyDigest = b.digest()
		x.request.ContentLength = received.Size()
	}
	x.request.Fingerprint = fingerprint(x.request)
	return b, nil
}

// fingerprint returns a hash that is equal for repeated sends of a request, whether or
// not they carry the same key.
func fingerprint(r *contract.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Caller, r.Method, r.URI, string(r.BodyDigest)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// setKey applies the route's key policy. Every request that is not idempotent gets a
// key. A key that the entry node generates is unique to this request.
func (x *exchange) setKey(b *body) *verdict.Error {
	r := x.request
	if r.Idempotent {
		return nil
	}
	key, refusal := x.resolveKey(b)
	if refusal != nil {
		return refusal
	}
	r.Key = idempotency.ScopedKey(r.Caller, key)
	r.KeyTime = key.Time
	r.KeyMinted = key.Minted
	return nil
}

func (x *exchange) resolveKey(b *body) (idempotency.Key, *verdict.Error) {
	now := time.Now()
	if text := x.c.Request.Header.Get(contract.HeaderKey); text != "" {
		key, err := idempotency.Parse(text, now)
		if errors.Is(err, idempotency.ErrKeyTooFarAhead) {
			// Proof: no gate runs a request whose key time is so far ahead of every clock.
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
		if b.Body.CanOpen() {
			return idempotency.DigestKey(x.request.Caller, x.request.Method, x.request.URI, b.bytes()), nil
		}
	}
	return idempotency.Mint(now), nil
}

// statusByReason maps reasons to HTTP statuses. Reasons that are not listed map to 503.
var statusByReason = map[verdict.Reason]int{
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
