package sidecar

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/decisions"
	"boragefall/internal/intake"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/verdict"
)

const (
	// noConfigRetryAfter is the time in which a node that has just started receives a
	// configuration.
	noConfigRetryAfter = 500 * time.Millisecond
	// answerLogInterval is the sampling interval of the answer log: one successful
	// answer in this many is logged.
	answerLogInterval = 100
	// copyBufferBytes is the size of the buffers used to forward answers.
	copyBufferBytes = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Meter counts requests and attempts by result.
type Meter interface {
	Answered(route string, status int, took time.Duration)
	Refused(verdictText, reason string)
	Attempted(result string)
}

// Entry serves the callers of this host: its clients and its backend server.
type Entry struct {
	// Origin is the service of the backend server on this host.
	Origin string
	View   func() *catalog.View
	// CopyAge bounds the age of the view that a later call of View returns.
	CopyAge       copyAge
	Headers       protocol.CallerCodec
	Quotas        *quotaGuard
	Bodies        *intake.BodyBuffer
	Dispatcher    *Dispatcher
	Splitter      *trafficSplitter
	CallerRetries *callerRetries
	Meter         Meter
	Logger        *log.Logger
	// Stopping reports whether the process is stopping, Refusing whether it is about to end
	// and refuses new requests.
	Stopping, Refusing *atomic.Bool
	// InFlight counts the callers' requests in progress.
	InFlight *atomic.Int64
	// successes counts the successful answers; a sample of them is logged.
	successes atomic.Uint64
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	engine.HandleMethodNotAllowed = false
	engine.NoRoute(e.serve)
	return engine
}

// callerRequest is one caller's request in progress.
type callerRequest struct {
	entry   *Entry
	c       *gin.Context
	started time.Time
	route   *mesh.Route
	// workspace holds the request's key; nil on a route that needs none.
	workspace *mesh.Workspace
	request   *contract.Request
}

func (e *Entry) serve(c *gin.Context) {
	e.InFlight.Add(1)
	defer e.InFlight.Add(-1)
	if e.Stopping.Load() {
		c.Header("Connection", "close")
	}
	x := &callerRequest{entry: e, c: c, started: time.Now(), request: &contract.Request{}}
	if refusal := x.run(); refusal != nil {
		x.writeRefusal(refusal)
	}
}

// run serves the request. It returns a refusal only if nothing was written yet.
func (x *callerRequest) run() *verdict.Error {
	headers := x.entry.Headers.ReadCallerRequest(x.c.Request.Header)
	x.request.ID = headers.ID
	if headers.ID == "" {
		x.request.ID = uuid.NewString()
	}
	if x.entry.Refusing.Load() && !x.entry.Dispatcher.isNestedCall(x.request.ID) {
		// Proof: nothing was sent.
		return verdict.Refuse(verdict.ReasonLeaving, stoppingRetryAfter)
	}
	if refusal := x.matchRoute(headers); refusal != nil {
		return refusal
	}
	if refusal := x.entry.Quotas.Admit(x.c.Request.Context(), x.workspace); refusal != nil {
		return refusal
	}
	refusal := x.dispatch(headers)
	if refusal != nil && refusal.Verdict == verdict.NotRun {
		x.entry.Quotas.Refund(x.workspace)
	}
	return refusal
}

// dispatch receives the body and sends the request. It returns a refusal only if nothing
// was written yet.
func (x *callerRequest) dispatch(headers protocol.CallerRequest) *verdict.Error {
	body, err := x.entry.Bodies.Receive(intake.NewHTTPSource(x.c.Writer, x.c.Request), x.c.Request.ContentLength)
	if err != nil {
		return verdict.FromError(err)
	}
	defer body.Close()
	if body.CanOpen() {
		x.request.ContentLength = body.Size()
	}
	x.request.Fingerprint = fingerprint(x.request, x.workspace, body)
	firstAt := x.firstAttemptAt(headers)
	ctx, cancel := context.WithDeadline(x.c.Request.Context(), x.request.Deadline)
	defer cancel()
	answer, refusal := x.entry.Dispatcher.Do(ctx, x.request, x.route, &attemptBody{body: body})
	if headers.Timeout > 0 && (refusal != nil || answer.Status >= http.StatusInternalServerError) {
		x.entry.CallerRetries.recordUnanswered(x.request.Fingerprint, firstAt, x.started.Add(headers.Timeout))
	}
	if refusal != nil {
		return refusal
	}
	x.writeAnswer(answer)
	return nil
}

// firstAttemptAt returns when the caller made its first attempt at this request, and
// shifts the objective so that it counts from then.
func (x *callerRequest) firstAttemptAt(headers protocol.CallerRequest) time.Time {
	if headers.Timeout == 0 {
		return x.started
	}
	firstAt := x.entry.CallerRetries.firstAttemptAt(x.request.Fingerprint, x.started.Add(headers.Timeout), x.started)
	x.request.Objective = x.request.Objective.Add(firstAt.Sub(x.started))
	return firstAt
}

// matchRoute fills the request from the HTTP request, its route and its workspace, all of
// one view.
func (x *callerRequest) matchRoute(headers protocol.CallerRequest) *verdict.Error {
	incoming, age := x.c.Request, x.entry.CopyAge.read()
	view := x.entry.View()
	if view.Config == nil {
		// Proof: without a configuration nothing is sent.
		return verdict.Refuse(verdict.ReasonLacksResource, noConfigRetryAfter)
	}
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	route, ok := view.Routes.Match(incoming.Host, path)
	if !ok {
		// Proof: without a route nothing is sent.
		return age.refuseUnknown(verdict.ReasonNoRoute)
	}
	if refusal := x.findWorkspace(view.Config, route, headers.Key, age); refusal != nil {
		return refusal
	}
	if limit := view.Config.Limits.MaxBodyBytes; limit > 0 && incoming.ContentLength > limit {
		// Proof: the body was not read, so nothing is sent.
		return verdict.Refuse(verdict.ReasonBodyTooLarge, 0)
	}
	timeout := route.Timeout
	if headers.Timeout > 0 {
		timeout = min(timeout, headers.Timeout)
	}
	x.route = route
	r := x.request
	r.Origin, r.Caller = x.entry.Origin, x.entry.Origin
	r.Method, r.URI, r.Host = incoming.Method, incoming.RequestURI, incoming.Host
	r.Header = contract.EndToEnd(incoming.Header)
	r.Route, r.Service = route.Name, x.entry.Splitter.pick(route)
	r.Idempotent, r.Rank = route.Kind.Idempotent(), route.Priority
	if view.Config.Workspaces != nil {
		r.Rank = mesh.Rank(route, x.workspace)
		x.entry.Headers.SetWorkspace(r.Header, x.workspaceName())
	}
	r.Deadline = x.started.Add(timeout)
	r.Objective = x.started.Add(min(route.Objective, timeout))
	r.ContentLength = incoming.ContentLength
	return nil
}

// findWorkspace finds the workspace that holds the request's key. It refuses the request
// if the route needs a key and there is none, or if the key may have been removed since.
func (x *callerRequest) findWorkspace(config *mesh.Config, route *mesh.Route, key mesh.APIKey, age provenAge) *verdict.Error {
	if config.Workspaces == nil || route.Public {
		return nil
	}
	// Proof, for each of these refusals: nothing is sent without a workspace.
	if refusal := age.keyRefusal(); refusal != nil {
		return refusal
	}
	x.workspace = config.Workspaces.Holder(key)
	if x.workspace == nil {
		return age.refuseUnknown(verdict.ReasonUnauthorized)
	}
	return nil
}

// workspaceName returns the name of the request's workspace, or "" if it has none.
func (x *callerRequest) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// writeAnswer forwards a backend server's answer. If the answer is truncated, it aborts
// the caller's connection so that the caller can't take it for a complete one.
func (x *callerRequest) writeAnswer(a *contract.Answer) {
	defer func() { _ = a.Body.Close() }() // a close error changes nothing for the caller
	header := x.c.Writer.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // disables content sniffing by net/http
	}
	if a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	x.c.Writer.WriteHeader(a.Status)
	x.c.Writer.WriteHeaderNow()
	size, err := x.copyBody(a)
	if err != nil {
		x.entry.Logger.Warn().Str("part", "entry").Str("request", x.request.ID).Err(err).Msg("answer cut")
		panic(http.ErrAbortHandler)
	}
	if a.Status < http.StatusMultipleChoices {
		x.entry.Dispatcher.answerSizes.Observe(x.request.Route, size)
	}
	x.entry.Meter.Answered(x.request.Route, a.Status, time.Since(x.started))
	message := decisions.MessagePassed
	switch {
	case a.Status >= http.StatusInternalServerError:
		message = decisions.MessageFailed
	case x.entry.successes.Add(1)%answerLogInterval != 0:
		return
	}
	x.entry.Logger.Info().Str("part", "entry").Str("request", x.request.ID).Str("route", x.request.Route).
		Str("service", x.request.Service).Int("status", a.Status).Dur("took", time.Since(x.started)).Msg(message)
}

// copyBody forwards the body and returns its size in bytes.
func (x *callerRequest) copyBody(a *contract.Answer) (int64, error) {
	if x.request.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		return 0, nil
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(struct{ io.Writer }{x.c.Writer}, struct{ io.Reader }{a.Body}, buffer[:])
}

// writeRefusal sends the final verdict to the caller without waiting.
func (x *callerRequest) writeRefusal(e *verdict.Error) {
	header := x.c.Writer.Header()
	header["Content-Type"] = nil
	status := x.entry.Headers.WriteRefusal(header, x.request.ID, e)
	x.entry.Meter.Refused(e.Verdict.String(), e.Reason.String())
	view := x.entry.View()
	version := uint64(0)
	if view.Config != nil {
		version = view.Config.Version
	}
	x.entry.Logger.Info().Str("part", "entry").Str("request", x.request.ID).Str("route", x.request.Route).
		Str("service", x.request.Service).Str("workspace", x.workspaceName()).Int("status", status).Str("verdict", e.Verdict.String()).
		Str("reason", e.Reason.String()).AnErr("cause", e.Cause).Dur("retry_after", e.RetryAfter).
		Dur("took", time.Since(x.started)).Uint64("config", version).Uint64("revision", view.Version.Revision).Uint64("era", view.Version.Era).
		Msg(decisions.MessageRefused)
	x.c.Status(status)
	x.c.Writer.WriteHeaderNow()
}

// attemptBody provides a caller's body to each attempt.
type attemptBody struct {
	body   *intake.Body
	opened bool
}

// Buffered reports whether the whole body is in memory.
func (b *attemptBody) Buffered() bool {
	return b.body.CanOpen()
}

// Open returns the body for the next attempt, or false if it was already streamed.
func (b *attemptBody) Open() (io.Reader, bool) {
	if b.opened && !b.body.CanOpen() {
		return nil, false
	}
	b.opened = true
	return b.body.Reader(), true
}
