package serverconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
	"boragefall/internal/verdict"
)

const (
	// maxUnmatchedAnswers bounds the answers to earlier requests that are passed
	// over while the right one is awaited.
	maxUnmatchedAnswers = 4
	// maxAnswerHead bounds the head of an answer in bytes; it is the bound for a
	// request's head. A server in trouble may send a head that never ends.
	maxAnswerHead = 64 << 10
	// maxUnmatchedBody bounds the body of an answer to another request that is read, so
	// that the connection can go on, in bytes.
	maxUnmatchedBody = 256 << 10
	// maxBufferedAnswer is the size in bytes up to which an answer is read
	// whole before it is passed on, so that one that breaks off can be replaced.
	maxBufferedAnswer = 256 << 10
	// maxInlineBody is the size in bytes up to which a request's body is written
	// before the answer is awaited; it fits a socket's buffers.
	maxInlineBody = 8 << 10
)

var errUnsigned = eris.New("a success that the server does not vouch for")

var errMissingRequestID = eris.New("an answer that names no request")

var errUnmatchedAnswers = eris.New("only answers to other requests arrived")

// Answer is a backend server's answer with its meaning.
type Answer struct {
	contract.Answer
	Reply protocol.ServerResponse
	// Buffered reports that the body is in memory: the server is done.
	Buffered bool
}

// Request is one request to the server.
type Request struct {
	*contract.Request
	// Order is what the request carries for the server.
	Order protocol.ServerRequest
	// BeforeSend is called once before the first byte is written.
	BeforeSend func()
}

// Client sends requests over a pool.
type Client struct {
	*Pool
	headers protocol.HeaderCodec
}

// NewClient returns a client.
func NewClient(pool *Pool, headers protocol.HeaderCodec) *Client {
	return &Client{Pool: pool, headers: headers}
}

// Do sends a request and returns the answer. Its errors are *verdict.Error;
// one that says NotRun holds the proof that no byte was sent.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		// Proof: nothing was sent yet.
		return nil, verdict.New(verdict.NotRun, dialErrorReason(ctx, err), err)
	}
	conn, err := c.get(ctx, !r.Idempotent)
	if err != nil {
		// Proof: there was no connection to send on.
		return nil, verdict.New(verdict.NotRun, dialErrorReason(ctx, err), err)
	}
	if r.BeforeSend != nil {
		r.BeforeSend()
	}
	x := &exchange{client: c, conn: conn, request: r}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, err := x.run()
	if err != nil {
		x.abort()
		if x.bodyFailed.Load() {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, err)
		}
		return nil, verdict.New(verdict.MayHaveRun, exchangeErrorReason(ctx), err)
	}
	return answer, nil
}

func dialErrorReason(ctx context.Context, err error) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCanceled
	case errors.Is(err, ErrConnectionLimit):
		return verdict.ReasonOverloaded
	default:
		return verdict.ReasonUnreachable
	}
}

func exchangeErrorReason(ctx context.Context) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCanceled
	default:
		return verdict.ReasonConnectionLost
	}
}

// exchange is one request on one connection.
type exchange struct {
	client     *Client
	conn       *conn
	request    Request
	stopCancel func() bool
	// writeResult receives the result of writing a body that is sent beside the
	// wait for the answer.
	writeResult chan error
	// bodyFailed reports that the caller's body broke off.
	bodyFailed atomic.Bool
}

func (x *exchange) run() (*Answer, error) {
	out := x.newHTTPRequest()
	if x.request.ContentLength >= 0 && x.request.ContentLength <= maxInlineBody {
		if err := x.write(out); err != nil {
			return nil, err
		}
	} else {
		x.writeResult = make(chan error, 1)
		go func() { x.writeResult <- x.write(out) }()
	}
	response, reply, err := x.receive(out)
	if err != nil {
		return nil, err
	}
	return x.readAnswer(response, reply)
}

func (x *exchange) newHTTPRequest() *http.Request {
	r := x.request
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	x.client.headers.WriteServerRequest(header, r.Order)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // the caller sent none
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           opaqueURL(r.URI),
		Host:          r.Host,
		Header:        header,
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if r.ContentLength != 0 {
		out.Body = &errorTrackingBody{Reader: r.Body, failed: &x.bodyFailed}
	}
	return out
}

// errorTrackingBody notes that the caller's body broke off, which is no fault of the
// server's.
type errorTrackingBody struct {
	io.Reader
	failed *atomic.Bool
}

// Read notes errors other than the end.
func (b *errorTrackingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

// Close does nothing: the body belongs to the request.
func (b *errorTrackingBody) Close() error {
	return nil
}

func (x *exchange) write(out *http.Request) error {
	if err := out.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// receive reads the answer to this request and passes over answers to others. Only
// a health check's answer may name no request.
func (x *exchange) receive(out *http.Request) (*http.Response, protocol.ServerResponse, error) {
	for range maxUnmatchedAnswers {
		x.conn.headLimit.setLimit(maxAnswerHead)
		response, err := http.ReadResponse(x.conn.reader, out)
		x.conn.headLimit.clearLimit()
		if err != nil {
			return nil, protocol.ServerResponse{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		reply := x.client.headers.ReadServerResponse(response.StatusCode, response.Header)
		if reply.ID == "" && !x.request.Order.Probe {
			return nil, protocol.ServerResponse{}, errMissingRequestID
		}
		if reply.ID == x.request.ID || x.request.Order.Probe {
			if response.StatusCode < http.StatusMultipleChoices && !reply.Signed && !x.request.Order.Probe {
				return nil, protocol.ServerResponse{}, errUnsigned
			}
			return response, reply, nil
		}
		if response.Close {
			break
		}
		if read, err := io.CopyN(io.Discard, response.Body, maxUnmatchedBody); !errors.Is(err, io.EOF) {
			return nil, protocol.ServerResponse{}, eris.Wrapf(errUnmatchedAnswers, "read %d bytes of one: %v", read, err)
		}
	}
	return nil, protocol.ServerResponse{}, errUnmatchedAnswers
}

// readAnswer reads a small answer whole, and streams a large one.
func (x *exchange) readAnswer(response *http.Response, reply protocol.ServerResponse) (*Answer, error) {
	answer := &Answer{Reply: reply, Answer: contract.Answer{
		Status:        response.StatusCode,
		Header:        contract.EndToEnd(response.Header),
		Trailer:       func() http.Header { return response.Trailer },
		ContentLength: response.ContentLength,
	}}
	buffer := &bytes.Buffer{}
	_, err := io.CopyN(buffer, response.Body, maxBufferedAnswer)
	switch {
	case err == nil:
		remainder := &streamedBody{exchange: x, response: response, reply: reply}
		answer.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(buffer, remainder), remainder}
	case errors.Is(err, io.EOF):
		x.finish(response, reply)
		answer.Body, answer.Buffered = io.NopCloser(buffer), true
		if response.Request == nil || response.Request.Method != http.MethodHead {
			answer.ContentLength = int64(buffer.Len())
		}
	default:
		return nil, err
	}
	return answer, nil
}

// finish keeps the connection when both sides are done with the request.
func (x *exchange) finish(response *http.Response, reply protocol.ServerResponse) {
	if !x.stopCancel() || !x.requestWritten() || response.Close || x.conn.reader.Buffered() > 0 {
		x.abort()
		return
	}
	x.client.put(x.conn, reply.IdleTimeout)
}

// requestWritten reports whether the whole request was written. A server may answer
// before it has read a long body; such a connection is not used again.
func (x *exchange) requestWritten() bool {
	if x.writeResult == nil {
		return true
	}
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

// abort closes the connection, which also ends a write under way.
func (x *exchange) abort() {
	x.stopCancel()
	x.client.discard(x.conn)
}

// streamedBody is the rest of a large answer.
type streamedBody struct {
	exchange *exchange
	response *http.Response
	reply    protocol.ServerResponse
	done     bool
}

// Read returns an error other than io.EOF when the answer breaks off.
func (s *streamedBody) Read(p []byte) (int, error) {
	if s.done {
		return 0, io.EOF
	}
	n, err := s.response.Body.Read(p)
	if err == io.EOF {
		s.done = true
		s.exchange.finish(s.response, s.reply)
	}
	return n, err
}

// Close ends the answer; before its end the connection is closed.
func (s *streamedBody) Close() error {
	if !s.done {
		s.done = true
		s.exchange.abort()
	}
	return nil
}
