// Package caller speaks HTTP to callers: it takes their requests in, names
// them, and gives each the whole answer or one final verdict at once.
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

// View is what the handler reads of the configuration in force, as one
// immutable value.
type View struct {
	Version config.Version
	Table   *routing.Table
}

// Meter counts answers and refusals.
type Meter interface {
	Answered(route string, status int, took time.Duration)
	Refused(verdictText, reason string)
}

// Config names the parts of a Handler. All fields are required.
type Config struct {
	// View returns the configuration in force, or nil before the first.
	View func() *View
	// Leaving reports that this node is about to stop or to be left, so that
	// callers are asked to connect elsewhere.
	Leaving    func() bool
	Dispatcher Dispatcher
	Bodies     *intake.BodyBuffer
	Admitter   *intake.Admitter
	Tracer     trace.Tracer
	Meter      Meter
	Logger     *log.Logger
}

// Handler serves callers.
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

// requestID returns the id that came with a nested request, or a new one.
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

// maxIDBytes bounds a request id that a caller names.
const maxIDBytes = 64

// callerName returns the name that the caller gives, or its address.
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

// headerNumber reads a small whole headerNumber from a header; anything else is 0.
func headerNumber(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
