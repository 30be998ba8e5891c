// Package backend is the HTTP client for the backend server beside a node.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

// maxAnswerHead bounds the head of an answer in bytes, with the interim answers before it,
// like that of a request. A faulty server may send a head that never ends.
const maxAnswerHead = 64 << 10

// errInvalidStatus reports a status that no final answer of HTTP has.
var errInvalidStatus = eris.New("answer has an invalid status")

// Client sends requests to one backend server over pooled connections.
type Client struct {
	cfg       Config
	transport atomic.Pointer[http.Transport]
}

// NewClient returns a client for the server at cfg.Address.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg.withDefaults()}
	c.transport.Store(c.newTransport(c.cfg.Connections))
	return c
}

func (c *Client) newTransport(connections int) *http.Transport {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	return &http.Transport{
		DialContext:            dialTracked(dialer.DialContext),
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        c.cfg.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
	}
}

// SetConnections changes the limit on connections. Connections opened under the
// old limit are closed once they are idle.
func (c *Client) SetConnections(connections int) {
	old := c.transport.Load()
	if old.MaxConnsPerHost == connections {
		return
	}
	if c.transport.CompareAndSwap(old, c.newTransport(connections)) {
		old.CloseIdleConnections()
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.Load().CloseIdleConnections()
}

// Do sends a request and returns the answer once its headers have arrived. Its
// errors are *verdict.Error.
func (c *Client) Do(ctx context.Context, r *contract.Request) (*contract.Answer, error) {
	progress := &progress{wrote: make(chan struct{})}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, progress.trace()), r)
	if err != nil {
		// Proof: nothing was sent, since the request could not be constructed.
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	response, err := c.transport.Load().RoundTrip(request)
	if err != nil {
		return nil, classify(ctx, progress, err)
	}
	if !contract.ValidStatus(response.StatusCode) {
		_ = response.Body.Close() // also closes the connection if the body isn't read
		// The transport has kept the connection if the response has no body.
		c.transport.Load().CloseIdleConnections()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, eris.Wrapf(errInvalidStatus, "%d", response.StatusCode))
	}
	if isEndedByClose(response) {
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, progress: progress}
	}
	return newAnswer(response), nil
}

func (c *Client) newRequest(ctx context.Context, r *contract.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.cfg.Address+r.URI, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = r.Host
	request.Header = r.Header.Clone()
	request.Header.Set(contract.HeaderRequestID, r.ID)
	request.Header.Set(contract.HeaderAttempt, strconv.Itoa(r.Attempt))
	request.Header.Set(contract.HeaderHops, strconv.Itoa(r.Hops))
	remaining := r.Remaining(time.Now()).Milliseconds()
	request.Header.Set(contract.HeaderDeadline, strconv.FormatInt(max(remaining, 1), 10))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", "")
	}
	// The transport retries any request with an Idempotency-Key whose connection
	// breaks. A body that is neither nil nor NoBody, without GetBody, prevents
	// that.
	request.Body = io.NopCloser(r.Body)
	request.GetBody = nil
	request.ContentLength = r.ContentLength
	if len(r.Trailer) > 0 {
		request.Trailer = r.Trailer
	}
	return request, nil
}

// classify converts a transport error to a verdict.
func classify(ctx context.Context, p *progress, err error) *verdict.Error {
	if !p.connected.Load() {
		// Proof: the request never had a connection that it could be written to.
		return verdict.New(verdict.NotRun, errorReason(ctx, verdict.ReasonUnreachable), err)
	}
	return verdict.New(verdict.MayHaveRun, errorReason(ctx, verdict.ReasonConnectionLost), err)
}

func errorReason(ctx context.Context, fallback verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCanceled
	default:
		return fallback
	}
}

// newAnswer converts a response. net/http reports a body that is shorter than its
// stated length, or chunks without a last one, as io.ErrUnexpectedEOF.
func newAnswer(response *http.Response) *contract.Answer {
	return &contract.Answer{
		Status:        response.StatusCode,
		Header:        contract.EndToEnd(response.Header),
		Trailer:       func() http.Header { return response.Trailer },
		ContentLength: response.ContentLength,
		Body:          response.Body,
	}
}
