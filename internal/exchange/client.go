package exchange

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// continueThresholdBytes is the length beyond which a body is sent only once the gate wants
// it, so that a refusal does not cost the body's way.
const continueThresholdBytes = 16 << 10

const traceParentHeader = "traceparent"

// permille is the unit of shares in messages.
const permille = 1000

// ErrIDMismatch reports an answer to another request.
var ErrIDMismatch = eris.New("the answer carries another request's id")

// Client sends requests to the gates of other nodes.
type Client struct {
	dialer     *link.Dialer
	propagator propagation.TraceContext
}

// NewClient returns a client over a dialer of the request class.
func NewClient(dialer *link.Dialer) *Client {
	return &Client{dialer: dialer}
}

// Do sends a request to the gate at an address. Its errors are *verdict.Error.
// With a refusal of the gate it returns an answer that holds only the load.
func (c *Client) Do(ctx context.Context, address string, r *contract.Request) (*contract.Answer, error) {
	carrier := propagation.MapCarrier{}
	c.propagator.Inject(ctx, carrier)
	head := encodeRequest(r, carrier[traceParentHeader], time.Now())
	head.AwaitGo = r.ContentLength < 0 || r.ContentLength > continueThresholdBytes
	opening := &wire.Opening{Kind: &wire.Opening_Request{Request: head}}
	stream, err := c.dialer.Open(ctx, address, opening)
	if err != nil {
		// Proof: Open fails before any byte of the opening is flushed.
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	call := &clientCall{stream: stream, uploadDone: make(chan struct{}), uploadDecision: make(chan bool, 1)}
	if head.GetAwaitGo() {
		go call.sendBodyOnContinue(r)
	} else {
		call.sendBody(r)
	}
	answer, err := call.receive(ctx, r.ID)
	if err != nil {
		call.close()
	}
	return answer, err
}

// clientCall is a request under way.
type clientCall struct {
	stream     *link.Stream
	uploadDone chan struct{}
	// uploadDecision receives whether an awaited body is to be sent.
	uploadDecision chan bool
}

// sendBodyOnContinue sends the head, and the body once the gate wants it.
func (c *clientCall) sendBodyOnContinue(r *contract.Request) {
	if c.stream.Flush() != nil || !<-c.uploadDecision {
		close(c.uploadDone)
		return
	}
	c.sendBody(r)
}

// sendBody sends the body. A failure shows at the receiving side: the gate
// sees a cut body and answers, or the stream breaks.
func (c *clientCall) sendBody(r *contract.Request) {
	defer close(c.uploadDone)
	err := sendBody(c.stream, r.Body, r.ContentLength, func() http.Header { return r.Trailer })
	if errors.Is(err, ErrTruncated) {
		c.stream.Abort()
	}
}

func (c *clientCall) receive(ctx context.Context, id string) (*contract.Answer, error) {
	head := &wire.AnswerHead{}
	for {
		if err := c.stream.Receive(head); err != nil {
			return nil, receiveError(ctx, err)
		}
		if !head.GetGoOn() {
			break
		}
		c.decideUpload(true)
		head.Reset()
	}
	if head.GetId() != id {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, ErrIDMismatch)
	}
	if refused := head.GetRefused(); refused != nil {
		return &contract.Answer{Load: decodeLoad(head.GetLoad()), GateTime: decodeMicros(head.GetHeldMicros())}, decodeRefusal(refused)
	}
	trailer := http.Header{}
	reader := &bodyReader{stream: c.stream, trailer: trailer, length: head.GetContentLength()}
	return &contract.Answer{
		Status:        int(head.GetStatus()),
		Header:        decodeHeaders(head.GetHeaders()),
		Trailer:       func() http.Header { return trailer },
		ContentLength: head.GetContentLength(),
		Load:          decodeLoad(head.GetLoad()),
		GateTime:      decodeMicros(head.GetHeldMicros()),
		Body:          &answerBody{bodyReader: reader, call: c},
	}, nil
}

// decideUpload lets an awaited body go or not; only the first word counts.
func (c *clientCall) decideUpload(send bool) {
	select {
	case c.uploadDecision <- send:
	default:
	}
}

// close ends the exchange; an upload under way is stopped first.
func (c *clientCall) close() {
	c.stream.Abort()
	c.decideUpload(false)
	<-c.uploadDone
	c.stream.Close()
}

// receiveError classifies a stream that broke after the request was sent:
// nobody can prove that it did not run.
func receiveError(ctx context.Context, err error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, err)
	case ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, err)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, err)
	}
}

func decodeLoad(l *wire.Load) contract.Load {
	return contract.Load{
		Running:          int(l.GetRunning()),
		Queued:           int(l.GetQueued()),
		Limit:            int(l.GetLimit()),
		State:            host.State(l.GetState()),
		ServiceTime:      decodeMicros(l.GetServiceMicros()),
		FailureRate:      float64(l.GetFailingPermille()) / permille,
		BodyQueueDelay:   decodeMicros(l.GetBodyWaitMicros()),
		AnswerQueueDelay: decodeMicros(l.GetAnswerWaitMicros()),
		BodyRate:         int64(l.GetBodyKilobytesPerSecond()) << 10,
	}
}

func encodeLoad(l contract.Load) *wire.Load {
	return &wire.Load{
		Running:                uint32(max(l.Running, 0)),
		Queued:                 uint32(max(l.Queued, 0)),
		Limit:                  uint32(max(l.Limit, 0)),
		State:                  uint32(l.State),
		ServiceMicros:          encodeMicros(l.ServiceTime),
		FailingPermille:        uint32(l.FailureRate * permille),
		BodyWaitMicros:         encodeMicros(l.BodyQueueDelay),
		AnswerWaitMicros:       encodeMicros(l.AnswerQueueDelay),
		BodyKilobytesPerSecond: uint32(min(max(l.BodyRate>>10, 0), math.MaxUint32)),
	}
}

type answerBody struct {
	*bodyReader
	call *clientCall
}

// Close ends the exchange. Closing before the end cancels the request.
func (b *answerBody) Close() error {
	b.call.close()
	return nil
}

// encodeMicros and decodeMicros translate times from 0 to about an hour.
func encodeMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}

func decodeMicros(micros uint32) time.Duration {
	return time.Duration(micros) * time.Microsecond
}
