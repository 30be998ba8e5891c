package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"boragefall/internal/bootclock"
	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/link"
	"boragefall/internal/transit"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// deliveryTimeout bounds the wait for the peer to close the stream of a large answer. A
// caller that reads it slowly says nothing about the link.
const deliveryTimeout = time.Second

// deliveryObserver is the body of an answer that is told when the peer has read it.
type deliveryObserver interface {
	Delivered()
}

// Runner runs requests at the last hop. Its errors are *verdict.Error.
type Runner interface {
	Run(ctx context.Context, r *contract.Request) (*contract.Answer, error)
	// Load returns the present load of the backend server, which refusals carry.
	Load() contract.Load
}

// Server serves requests from other nodes.
type Server struct {
	runner     Runner
	version    func() config.Version
	logger     *log.Logger
	propagator propagation.TraceContext
	// transit measures how long requests were on their way.
	transit *transit.Meter
}

// NewServer returns a server that passes requests to a runner. version returns the
// active configuration version, which refusals carry.
func NewServer(runner Runner, version func() config.Version, logger *log.Logger) *Server {
	return &Server{runner: runner, version: version, logger: logger, transit: transit.NewMeter()}
}

// errInlineTooLong reports a body that a peer sends without a request for it although only
// short ones may be sent so.
var errInlineTooLong = eris.New("body sent unrequested is too long")

// Serve handles one request and returns when the exchange has ended.
func (s *Server) Serve(ctx context.Context, head *wire.RequestHead, stream *link.Stream) {
	receivedAt := time.Now()
	// The time left counts from the sending: a host that is overloaded, or a link that was
	// silent, may deliver a request seconds late.
	delay := s.transit.Delay(head.GetSender(), microseconds(head.GetSentMicros()), bootclock.Now())
	r := decodeRequest(head, receivedAt.Add(-delay))
	ctx = s.propagator.Extract(ctx, propagation.MapCarrier{traceParentHeader: head.GetTraceParent()})
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	body := newRequestBody(stream, r)
	r.Body = body
	if head.GetAwaitGo() {
		body.arrivalStarted = make(chan struct{})
		body.sendContinue = func() error { return s.sendContinue(stream, r.ID) }
	} else if r.ContentLength >= 0 {
		// The body follows the head without being requested. Once it has been read,
		// the end of the stream means that the caller disconnected. Reading it first
		// detects this also while the request is queued for a slot.
		data, err := io.ReadAll(io.LimitReader(body, continueThresholdBytes+1))
		if len(data) > continueThresholdBytes {
			err = errInlineTooLong
		}
		r.Body, r.BodyBuffered = bytes.NewReader(data), true
		if err != nil {
			r.Body = io.MultiReader(r.Body, failedBody{err})
		}
	}
	watcher := watchPeer(stream, body, cancel)
	defer watcher.stop()
	answer, err := s.runner.Run(ctx, r)
	body.beginAnswer()
	if err != nil {
		_ = s.sendRefusal(stream, r, receivedAt, err) // the peer sees the end of the stream
		return
	}
	defer func() { _ = answer.Body.Close() }()
	answer.GateTime = time.Since(receivedAt)
	if !s.sendAnswer(ctx, stream, r, answer) {
		return
	}
	if observed, ok := answer.Body.(deliveryObserver); ok && watcher.awaitClose(deliveryTimeout) {
		observed.Delivered()
	}
}

// fullRetryAfter is the time after which a refused stream may find a place: a request under a
// large burst takes some tens of milliseconds.
const fullRetryAfter = 200 * time.Millisecond

// Refuse refuses a request that has no place and was not read. The refusal has no id.
func (s *Server) Refuse(stream *link.Stream) error {
	// Proof: the request was not read, so nothing was handed to the server.
	return s.sendRefusal(stream, &contract.Request{}, time.Now(), verdict.Refuse(verdict.ReasonOverloaded, fullRetryAfter))
}

func (s *Server) sendRefusal(stream *link.Stream, r *contract.Request, receivedAt time.Time, err error) error {
	head := &wire.AnswerHead{
		Id: r.ID, Refused: encodeRefusal(verdict.FromError(err), s.version()), Load: encodeLoad(s.runner.Load()),
		HeldMicros: encodeMicros(time.Since(receivedAt)),
	}
	if err := stream.Send(head); err != nil {
		return err
	}
	return stream.Flush()
}

func (s *Server) sendAnswer(ctx context.Context, stream *link.Stream, r *contract.Request, a *contract.Answer) (sent bool) {
	stopAbort := context.AfterFunc(ctx, stream.Abort)
	defer stopAbort()
	head := &wire.AnswerHead{
		Id:            r.ID,
		Status:        uint32(a.Status),
		Headers:       encodeHeaders(a.Header),
		Load:          encodeLoad(a.Load),
		ContentLength: a.ContentLength,
		HeldMicros:    encodeMicros(a.GateTime),
	}
	if stream.Send(head) != nil {
		return false
	}
	_, err := sendBody(stream, a.Body, a.ContentLength, a.Trailer)
	if errors.Is(err, ErrTruncated) {
		// The stream closes without a last chunk, so the sender detects the truncation.
		s.logger.Warn().Str("part", "exchange").Str("request", r.ID).Err(err).Msg("answer cut")
	}
	return err == nil
}

// sendContinue requests a body that the sender holds until the gate requests it.
func (s *Server) sendContinue(stream *link.Stream, id string) error {
	if err := stream.Send(&wire.AnswerHead{Id: id, GoOn: true}); err != nil {
		return err
	}
	return stream.Flush()
}

// failedBody stands for the missing remainder of a body that could not be read whole.
type failedBody struct {
	err error
}

// Read returns the error that ended the body.
func (b failedBody) Read([]byte) (int, error) {
	return 0, b.err
}

// requestBody is the body of a request at the gate. It may be closed while a read is
// blocked: close then waits until AbortRead on the stream has ended the read.
type requestBody struct {
	mu     sync.Mutex
	reader *bodyReader
	closed bool
	// received is closed once the last chunk has been read.
	received chan struct{}
	// sendContinue requests the body from the sender. It is nil when the body comes
	// without a request.
	sendContinue func() error
	// writing is held while sendContinue runs, which must end before the answer is sent,
	// since messages of both would be interleaved on the stream. answering reports that
	// the answer is being sent.
	writing   sync.Mutex
	answering bool
	// arrivalStarted is closed once a requested body begins to arrive or the stream has
	// ended. It is nil when the body comes without a request.
	arrivalStarted chan struct{}
}

func newRequestBody(stream *link.Stream, r *contract.Request) *requestBody {
	b := &requestBody{received: make(chan struct{})}
	b.reader = &bodyReader{
		stream:  stream,
		trailer: r.Trailer,
		length:  r.ContentLength,
		onEnd:   func() { close(b.received) },
	}
	return b
}

// Read reads the body. The first Read of a held body requests it from the sender.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.sendContinue != nil {
		if err := b.requestArrival(); err != nil {
			return 0, err
		}
		<-b.arrivalStarted
	}
	return b.reader.Read(p)
}

// requestArrival requests the body from the sender unless the answer is being sent. b.mu
// must be held.
func (b *requestBody) requestArrival() error {
	b.writing.Lock()
	defer b.writing.Unlock()
	if b.answering {
		return http.ErrBodyReadAfterClose
	}
	sendContinue := b.sendContinue
	b.sendContinue = nil
	return sendContinue()
}

// beginAnswer waits until a request for the body has been sent, and permits none from now
// on.
func (b *requestBody) beginAnswer() {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.answering = true
}

func (b *requestBody) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// peerWatcher cancels a request once the peer closes its stream. Before the answer, the
// peer does so only when its caller disconnected.
type peerWatcher struct {
	stream *link.Stream
	body   *requestBody
	quit   chan struct{}
	done   chan struct{}
}

func watchPeer(stream *link.Stream, body *requestBody, cancel context.CancelFunc) *peerWatcher {
	w := &peerWatcher{stream: stream, body: body, quit: make(chan struct{}), done: make(chan struct{})}
	go w.run(cancel)
	return w
}

func (w *peerWatcher) run(cancel context.CancelFunc) {
	defer close(w.done)
	if w.body.arrivalStarted != nil {
		err := w.stream.AwaitData()
		close(w.body.arrivalStarted)
		if err != nil {
			cancel()
			return
		}
	}
	select {
	case <-w.body.received:
	case <-w.quit:
		return
	}
	_, _ = io.Copy(io.Discard, w.stream)
	cancel()
}

// awaitClose reports whether the peer closes its stream within a time.
func (w *peerWatcher) awaitClose(timeout time.Duration) bool {
	select {
	case <-w.body.received:
	default:
		return false // the server did not read the request's body, so the close is not seen
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return true
	case <-timer.C:
		return false
	}
}

// stop ends the watcher and all reads, so that nothing uses the stream's buffers when
// the stream is closed.
func (w *peerWatcher) stop() {
	close(w.quit)
	w.stream.AbortRead()
	<-w.done
	w.body.close()
}
