// Package caller serves HTTP requests from callers. It admits each request, assigns its
// ID, and replies with either the complete answer or one final verdict.
package caller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/dispatch"
	"boragefall/internal/intake"
	"boragefall/internal/routing"
)

// Dispatcher sends a request to a backend server.
type Dispatcher interface {
	Do(ctx context.Context, r *contract.Request, body dispatch.Body, retries int) (*contract.Answer, error)
}

// View is an immutable snapshot of the parts of the active configuration that the
// handler uses.
type View struct {
	Version config.Version
	Table   *routing.Table
}

// Meter counts answers and refusals.
type Meter interface {
	Answered(route string, status int, took time.Duration)
	Refused(verdictText, reason string)
}

// Config holds the dependencies of a Handler. All fields are required.
type Config struct {
	// View returns the active configuration, or nil before the first one is loaded.
	View func() *View
	// Leaving reports whether this node is about to stop or is being taken out of
	// traffic. Responses then carry "Connection: close", so that callers reconnect
	// to another node.
	Leaving    func() bool
	Dispatcher Dispatcher
	Bodies     *intake.BodyBuffer
	Admitter   *intake.Admitter
	Tracer     trace.Tracer
	Meter      Meter
	Logger     *log.Logger
}

// Handler serves HTTP requests from callers.
type Handler struct {
	cfg        Config
	propagator propagation.TraceContext
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(cfg Config) http.Handler {
	h := &Handler{cfg: cfg}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = false
	engine.RedirectTrailingSlash = false
	engine.NoRoute(h.serve)
	return engine
}

func (h *Handler) serve(c *gin.Context) {
	started := time.Now()
	ctx := h.propagator.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := h.cfg.Tracer.Start(ctx, "intake", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if h.cfg.Leaving() {
		c.Header("Connection", "close")
	}
	x := &exchange{handler: h, c: c, started: started, request: &contract.Request{ID: requestID(c.Request)}}
	span.SetAttributes(attribute.String("request", x.request.ID))
	c.Header(contract.HeaderRequestID, x.request.ID)
	if refusal := x.run(ctx); refusal != nil {
		x.writeRefusal(refusal)
	}
}

// requestID returns the ID from the request's header, which nested requests carry, or
// a new ID.
func requestID(r *http.Request) string {
	if id := r.Header.Get(contract.HeaderRequestID); id != "" && len(id) <= maxIDBytes {
		return id
	}
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// maxIDBytes bounds the request ID and the caller name in request headers.
const maxIDBytes = 64

// callerName returns the caller's name from the request header, or its IP address.
func callerName(r *http.Request) string {
	if name := r.Header.Get(contract.HeaderCaller); name != "" && len(name) <= maxIDBytes {
		return name
	}
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return address
}

// headerNumber parses a header as a non-negative integer. It returns 0 when the header
// is missing or invalid.
func headerNumber(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
