package exchange

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"boragefall/internal/bootclock"
	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/link"
	"boragefall/internal/transfer"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// continueThresholdBytes is the length beyond which a body is sent only when the gate
// requests it, so that a refused request does not transfer its body.
const continueThresholdBytes = 16 << 10

// crossingContinueThresholdBytes is that length for a gate in another data centre, where
// bytes are billed, if the request may be queued there: other gates were full, so this one
// may refuse it, too. A first attempt is not delayed by the additional round trip.
const crossingContinueThresholdBytes = 1 << 10

const traceParentHeader = "traceparent"

// permille is the scale of ratios in messages.
const permille = 1000

// ErrIDMismatch reports an answer whose request id is not that of the request sent.
var ErrIDMismatch = eris.New("answer has the id of another request")

// ErrInvalidStatus reports an answer with a status that no final answer of HTTP has. A gate of
// an older build passes on what its server sends.
var ErrInvalidStatus = eris.New("answer has an invalid status")

// ErrStreamEnded reports that a gate ended the stream of one request without an answer that
// can be read, on a link that is sound.
var ErrStreamEnded = eris.New("the gate ended the stream without an answer")

// Client sends requests to the gates of other nodes.
type Client struct {
	dialer     *link.Dialer
	propagator propagation.TraceContext
	// id identifies this process to the meters of other nodes.
	id uint64
	// observe is called at the end of each exchange; nil for none.
	observe func(r *contract.Request, u transfer.Usage)
}

// NewClient returns a client over a dialer of the request class.
func NewClient(dialer *link.Dialer) *Client {
	return &Client{dialer: dialer, id: max(rand.Uint64(), 1)}
}

// ObserveTransfers sets a function that is called with the bytes of each request at the end
// of its exchange. It must be called before the first request.
func (c *Client) ObserveTransfers(observe func(r *contract.Request, u transfer.Usage)) {
	c.observe = observe
}

// Do sends a request to the gate at an address. Its errors are *verdict.Error.
// When the gate refuses the request, Do returns both the error and an answer that
// holds only the gate's load and the time that the request spent at the gate.
func (c *Client) Do(ctx context.Context, address string, r *contract.Request) (*contract.Answer, error) {
	carrier := propagation.MapCarrier{}
	c.propagator.Inject(ctx, carrier)
	head := encodeRequest(r, carrier[traceParentHeader], time.Now())
	head.Sender, head.SentMicros = c.id, bootclock.Now().Microseconds()
	head.AwaitGo = awaitsContinue(r)
	opening := &wire.Opening{Kind: &wire.Opening_Request{Request: head}}
	stream, err := c.dialer.Open(ctx, address, opening)
	if err != nil {
		// Proof: Open only fails before any byte of the opening message is flushed.
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	call := &clientCall{client: c, request: r, stream: stream, uploadDone: make(chan struct{}), uploadDecision: make(chan bool, 1)}
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

// awaitsContinue reports whether a request's body is sent only when the gate requests it.
func awaitsContinue(r *contract.Request) bool {
	threshold := int64(continueThresholdBytes)
	if r.CrossesDataCentres && r.AllowDelay {
		threshold = crossingContinueThresholdBytes
	}
	return r.ContentLength < 0 || r.ContentLength > threshold
}

// clientCall is a request in progress.
type clientCall struct {
	client  *Client
	request *contract.Request
	stream  *link.Stream
	// bodyBytes is the size of the body that was sent. It may be read once uploadDone is
	// closed.
	bodyBytes int64
	// answer is the body of the answer; nil before there is one.
	answer    *bodyReader
	closeOnce sync.Once
	// uploadDone is closed when no more of the body will be sent.
	uploadDone chan struct{}
	// uploadDecision receives whether to send a body that is held until the gate
	// requests it.
	uploadDecision chan bool
}

// sendBodyOnContinue sends the request head, and the body once the gate requests it.
func (c *clientCall) sendBodyOnContinue(r *contract.Request) {
	if c.stream.Flush() != nil || !<-c.uploadDecision {
		close(c.uploadDone)
		return
	}
	c.sendBody(r)
}

// sendBody sends the body. It returns no error, since a failure shows on the receiving
// side of the stream: the gate reads a truncated body and answers, or the stream breaks.
func (c *clientCall) sendBody(r *contract.Request) {
	defer close(c.uploadDone)
	var err error
	c.bodyBytes, err = sendBody(c.stream, r.Body, r.ContentLength, func() http.Header { return r.Trailer })
	if errors.Is(err, ErrTruncated) {
		c.stream.Abort()
	}
}

func (c *clientCall) receive(ctx context.Context, id string) (*contract.Answer, error) {
	head := &wire.AnswerHead{}
	for {
		if err := c.stream.Receive(head); err != nil {
			return nil, c.receiveError(ctx, err)
		}
		if !head.GetGoOn() {
			break
		}
		c.decideUpload(true)
		head.Reset()
	}
	if head.GetId() != id && !isUnreadRefusal(head) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, ErrIDMismatch)
	}
	if refused := head.GetRefused(); refused != nil {
		return &contract.Answer{Load: decodeLoad(head.GetLoad()), GateTime: decodeMicros(head.GetHeldMicros())}, decodeRefusal(refused)
	}
	if !contract.ValidStatus(int(head.GetStatus())) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, eris.Wrapf(ErrInvalidStatus, "%d", head.GetStatus()))
	}
	trailer := http.Header{}
	reader := &bodyReader{stream: c.stream, trailer: trailer, length: head.GetContentLength()}
	c.answer = reader
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

// isUnreadRefusal reports whether a gate refused a request without having read it, and so
// without its id: the gate has no place for another stream.
func isUnreadRefusal(head *wire.AnswerHead) bool {
	refused := head.GetRefused()
	return head.GetId() == "" && refused != nil && verdict.Verdict(refused.GetVerdict()) == verdict.NotRun
}

// decideUpload decides whether a held body is sent. Only the first call has an effect.
func (c *clientCall) decideUpload(send bool) {
	select {
	case c.uploadDecision <- send:
	default:
	}
}

// close ends the exchange. It first stops an upload in progress.
func (c *clientCall) close() {
	c.stream.Abort()
	c.decideUpload(false)
	<-c.uploadDone
	c.closeOnce.Do(c.reportTransfer)
	c.stream.Close()
}

func (c *clientCall) reportTransfer() {
	if c.client.observe == nil {
		return
	}
	usage := transfer.Usage{Total: c.stream.Transferred(), Body: c.bodyBytes}
	if c.answer != nil {
		usage.Answer = int64(c.answer.total)
	}
	c.client.observe(c.request, usage)
}

// receiveError classifies the error of a stream that broke after the request was sent.
// The verdict is MayHaveRun, since nothing proves that the request did not run.
func (c *clientCall) receiveError(ctx context.Context, err error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, err)
	case ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, err)
	case endsOneStream(err) && c.stream.LinkOpen():
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, eris.Wrap(ErrStreamEnded, err.Error()))
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, err)
	}
}

// endsOneStream reports whether an error may be that of a single stream: its peer closed it,
// or sent what is no message.
func endsOneStream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, link.ErrMalformed) || errors.Is(err, link.ErrFrameTooLong)
}

// decodeLoad decodes a load; a peer that breaks the protocol may send none.
func decodeLoad(l *wire.Load) contract.Load {
	if l == nil {
		return contract.Load{}
	}
	return contract.Load{
		Running:          int(l.GetRunning()),
		Queued:           int(l.GetQueued()),
		Limit:            int(l.GetLimit()),
		State:            host.State(l.GetState()),
		ServiceTime:      decodeMicros(l.GetServiceMicros()),
		FailureRate:      float64(l.GetFailingPermille()) / permille,
		BodyQueueDelay:   decodeMicros(l.GetBodyWaitMicros()),
		AnswerQueueDelay: decodeMicros(l.GetAnswerWaitMicros()),
		AnswerRate:       int64(l.GetAnswerKilobytesPerSecond()) << 10,
		BodyRate:         int64(l.GetBodyKilobytesPerSecond()) << 10,
		RateLimit:        decodeRateLimit(l.RateLimit),
		StartWait:        decodeMicros(l.GetStartWaitMicros()),
		Slowdown:         int(min(l.GetSlowdownPercent(), math.MaxInt32)),
		Concurrency:      int(min(l.GetConcurrency(), math.MaxInt32)),
	}
}

func encodeLoad(l contract.Load) *wire.Load {
	return &wire.Load{
		Running:                  uint32(max(l.Running, 0)),
		Queued:                   uint32(max(l.Queued, 0)),
		Limit:                    uint32(max(l.Limit, 0)),
		State:                    uint32(l.State),
		ServiceMicros:            encodeMicros(l.ServiceTime),
		FailingPermille:          uint32(l.FailureRate * permille),
		AnswerKilobytesPerSecond: uint32(min(max(l.AnswerRate>>10, 0), math.MaxUint32)),
		BodyWaitMicros:           encodeMicros(l.BodyQueueDelay),
		AnswerWaitMicros:         encodeMicros(l.AnswerQueueDelay),
		BodyKilobytesPerSecond:   uint32(min(max(l.BodyRate>>10, 0), math.MaxUint32)),
		RateLimit:                encodeRateLimit(l.RateLimit),
		StartWaitMicros:          encodeMicros(l.StartWait),
		SlowdownPercent:          uint32(max(l.Slowdown, 0)),
		Concurrency:              uint32(max(l.Concurrency, 0)),
	}
}

func encodeRateLimit(l contract.RateLimit) *float64 {
	if !l.Stated {
		return nil
	}
	return &l.PerSecond
}

// decodeRateLimit reads a limit. A value that is no rate counts as absent.
func decodeRateLimit(perSecond *float64) contract.RateLimit {
	if perSecond == nil || !(*perSecond >= 0) || math.IsInf(*perSecond, 0) {
		return contract.RateLimit{}
	}
	return contract.RateLimit{Stated: true, PerSecond: *perSecond}
}

type answerBody struct {
	*bodyReader
	call *clientCall
}

// Close ends the exchange. Closing before the end of the body cancels the request.
func (b *answerBody) Close() error {
	b.call.close()
	return nil
}

// encodeMicros converts a duration to microseconds. Durations below 0 become 0, and those
// above the range of 32 bits, about 71 minutes, become the maximum.
func encodeMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}

func decodeMicros(micros uint32) time.Duration {
	return time.Duration(micros) * time.Microsecond
}
