package serverconn

import (
	"bytes"
	"cmp"
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
	// maxUnmatchedAnswers bounds the answers read for one request, including interim
	// answers and skipped answers to earlier requests.
	maxUnmatchedAnswers = 4
	// maxAnswerHead bounds the head of an answer in bytes, like that of a request.
	// A faulty server may send a head that never ends.
	maxAnswerHead = 64 << 10
	// maxUnmatchedBody bounds the body of an answer to another request, in bytes,
	// that is read and discarded so that the connection can still be used.
	maxUnmatchedBody = 256 << 10
	// maxBufferedAnswer is the size in bytes up to which an answer is buffered in
	// full before it is forwarded, so that a truncated one can be replaced.
	maxBufferedAnswer = 256 << 10
	// maxInlineBody is the size in bytes up to which a request body is written
	// before the answer is read; a body of this size fits the socket buffers.
	maxInlineBody = 8 << 10
	// writeResultGrace is how long the end of an answer without a length waits for the end of
	// the request's write: a server may end its answer as soon as it has the whole request,
	// before the writing goroutine has noted that.
	writeResultGrace = 100 * time.Millisecond
)

var errUnsigned = eris.New("successful answer is not signed by the server")

var errMissingRequestID = eris.New("answer has no request ID")

// errInvalidStatus reports a status that HTTP doesn't have.
var errInvalidStatus = eris.New("answer has an invalid status")

// errUnfinishedRequest reports an answer without a length that ended before the request was
// written. The writer may have taken the report of a reset, so that its end looks ordinary.
var errUnfinishedRequest = eris.New("connection ended while the request was written, the answer may be truncated")

var errUnmatchedAnswers = eris.New("received only answers to other requests")

// Answer is a backend server's answer with its decoded protocol headers.
type Answer struct {
	contract.Answer
	ServerResponse protocol.ServerResponse
	// Buffered reports that the whole body is in memory, so the server is done
	// with the request.
	Buffered bool
}

// Request is a request to the server.
type Request struct {
	*contract.Request
	// ServerRequest is what the request carries for the server.
	ServerRequest protocol.ServerRequest
	// BeforeSend, if set, is called once before the first byte is written.
	BeforeSend func()
}

// Client sends requests over the connections of a pool.
type Client struct {
	*Pool
	headers protocol.ServerCodec
}

// NewClient returns a client that sends over pool and encodes with headers.
func NewClient(pool *Pool, headers protocol.ServerCodec) *Client {
	return &Client{Pool: pool, headers: headers}
}

// Do sends a request and returns the answer. Its errors are *verdict.Error;
// NotRun means that no byte was sent.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		// Proof: the context ended before anything was sent.
		return nil, verdict.New(verdict.NotRun, dialErrorReason(ctx, err), err)
	}
	conn, err := c.get(ctx, r.ID, !r.Idempotent)
	if err != nil {
		// Proof: there was no connection to send the request on.
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

// exchange is one request and its answer on a connection.
type exchange struct {
	client     *Client
	conn       *conn
	request    Request
	stopCancel func() bool
	// writeResult receives the result of writing a request whose body is sent
	// while the answer is awaited; nil for an inline body.
	writeResult chan error
	// written reports that writeResult held a nil, so that it holds nothing any more.
	written bool
	// bodyFailed reports that reading the caller's body failed.
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
	x.client.headers.WriteServerRequest(header, r.ServerRequest)
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

// errorTrackingBody records that reading the caller's body failed, so that the
// failure is not attributed to the server.
type errorTrackingBody struct {
	io.Reader
	failed *atomic.Bool
}

// Read records errors other than io.EOF.
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
	if err := writeRequest(x.conn.writer, out, x.request.URI); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// receive reads the answer to this request and skips answers to other requests. A health
// check has no request ID, so its answer has none either.
func (x *exchange) receive(out *http.Request) (*http.Response, protocol.ServerResponse, error) {
	for range maxUnmatchedAnswers {
		x.conn.headLimit.setLimit(maxAnswerHead)
		response, err := http.ReadResponse(x.conn.reader, out)
		x.conn.headLimit.clearLimit()
		if err != nil {
			return nil, protocol.ServerResponse{}, err
		}
		if !contract.ValidStatus(response.StatusCode) {
			if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
				continue // an interim answer
			}
			return nil, protocol.ServerResponse{}, eris.Wrapf(errInvalidStatus, "%d", response.StatusCode)
		}
		reply := x.client.headers.ReadServerResponse(response.StatusCode, response.Header)
		if reply.ID == "" && !x.request.ServerRequest.Probe {
			return nil, protocol.ServerResponse{}, errMissingRequestID
		}
		if reply.ID == x.request.ID {
			if response.StatusCode < http.StatusMultipleChoices && !reply.Signed && !x.request.ServerRequest.Probe {
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

// readAnswer buffers a small answer in full and streams a large one.
func (x *exchange) readAnswer(response *http.Response, reply protocol.ServerResponse) (*Answer, error) {
	answer := &Answer{ServerResponse: reply, Answer: contract.Answer{
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
		if err := x.checkEnd(response); err != nil {
			return nil, err
		}
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

// finish returns the connection to the pool if both sides are done with the
// request, and closes it otherwise.
func (x *exchange) finish(response *http.Response, reply protocol.ServerResponse) {
	if !x.stopCancel() || !x.requestWritten() || response.Close || x.conn.reader.Buffered() > 0 {
		x.abort()
		return
	}
	if reply.NotExecuted {
		x.conn.refused = append(x.conn.refused, x.request.ID)
	}
	if len(x.conn.refused) >= maxRefusedIDs {
		x.abort()
		return
	}
	x.client.put(x.conn, reply.IdleTimeout)
}

// requestWritten reports whether the whole request was written. A server may
// answer before it has read a long body; such a connection is not reused.
func (x *exchange) requestWritten() bool {
	if x.writeResult == nil || x.written {
		return true
	}
	select {
	case err := <-x.writeResult:
		x.written = err == nil
	default:
	}
	return x.written
}

// checkEnd checks the end of an answer's body. Without a length the end of the connection is
// that of the answer only if the whole request was written before.
func (x *exchange) checkEnd(response *http.Response) error {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody || x.requestWritten() {
		return nil
	}
	timer := time.NewTimer(writeResultGrace)
	defer timer.Stop()
	select {
	case err := <-x.writeResult:
		x.written = err == nil
	case <-timer.C:
	}
	if !x.written {
		return errUnfinishedRequest
	}
	return nil
}

// abort closes the connection, which also ends a write in progress.
func (x *exchange) abort() {
	x.stopCancel()
	x.client.discard(x.conn)
}

// streamedBody is the remainder of a large answer's body.
type streamedBody struct {
	exchange *exchange
	response *http.Response
	reply    protocol.ServerResponse
	done     bool
	// failed is the error with which the body ended, nil for a complete one.
	failed error
}

// Read returns an error other than io.EOF if the answer is truncated.
func (s *streamedBody) Read(p []byte) (int, error) {
	if s.done {
		return 0, cmp.Or(s.failed, io.EOF)
	}
	n, err := s.response.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	s.done = true
	if endErr := s.exchange.checkEnd(s.response); endErr != nil {
		s.exchange.abort()
		s.failed = endErr
		return n, endErr
	}
	s.exchange.finish(s.response, s.reply)
	return n, io.EOF
}

// Close closes the connection if the answer has not been read to its end.
func (s *streamedBody) Close() error {
	if !s.done {
		s.done = true
		s.exchange.abort()
	}
	return nil
}
