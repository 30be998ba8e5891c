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
	"go.opentelemetry.io/otel/propagation"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/link"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// Runner runs requests at the last hop. Its errors are *verdict.Error.
type Runner interface {
	Run(ctx context.Context, r *contract.Request) (*contract.Answer, error)
	// Load returns how busy the server is, for refusals.
	Load() contract.Load
}

// Server answers the requests of other nodes.
type Server struct {
	runner     Runner
	version    func() config.Version
	logger     *log.Logger
	propagator propagation.TraceContext
}

// NewServer returns a server that hands requests to a runner. version returns
// the configuration version in force, which refusals carry.
func NewServer(runner Runner, version func() config.Version, logger *log.Logger) *Server {
	return &Server{runner: runner, version: version, logger: logger}
}

// Serve answers one request. It returns when the exchange is over.
func (s *Server) Serve(ctx context.Context, head *wire.RequestHead, stream *link.Stream) {
	receivedAt := time.Now()
	r := decodeRequest(head, receivedAt)
	ctx = s.propagator.Extract(ctx, propagation.MapCarrier{traceParentHeader: head.GetTraceParent()})
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	body := newRequestBody(stream, r)
	r.Body = body
	if head.GetAwaitGo() {
		body.arrivalStarted = make(chan struct{})
		body.sendContinue = func() error { return s.sendContinue(stream, r.ID) }
	} else if r.ContentLength >= 0 {
		// It came with the head. Once it is read, the end of the stream means
		// that the caller left, also while the request waits for a slot.
		data, err := io.ReadAll(body)
		r.Body, r.BodyBuffered = bytes.NewReader(data), true
		if err != nil {
			r.Body = io.MultiReader(r.Body, failedBody{err})
		}
	}
	watcher := watchPeer(stream, body, cancel)
	defer watcher.stop()
	answer, err := s.runner.Run(ctx, r)
	if err != nil {
		s.sendRefusal(stream, r, receivedAt, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	answer.GateTime = time.Since(receivedAt)
	s.sendAnswer(ctx, stream, r, answer)
}

func (s *Server) sendRefusal(stream *link.Stream, r *contract.Request, receivedAt time.Time, err error) {
	head := &wire.AnswerHead{
		Id: r.ID, Refused: encodeRefusal(verdict.FromError(err), s.version()), Load: encodeLoad(s.runner.Load()),
		HeldMicros: encodeMicros(time.Since(receivedAt)),
	}
	if stream.Send(head) == nil {
		_ = stream.Flush()
	}
}

func (s *Server) sendAnswer(ctx context.Context, stream *link.Stream, r *contract.Request, a *contract.Answer) {
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
		return
	}
	err := sendBody(stream, a.Body, a.ContentLength, a.Trailer)
	if errors.Is(err, ErrTruncated) {
		// The stream closes without a last chunk, so the entry sees the cut.
		s.logger.Warn().Str("part", "exchange").Str("request", r.ID).Err(err).Msg("answer cut")
	}
}

// sendContinue asks the entry for an awaited body.
func (s *Server) sendContinue(stream *link.Stream, id string) error {
	if err := stream.Send(&wire.AnswerHead{Id: id, GoOn: true}); err != nil {
		return err
	}
	return stream.Flush()
}

// failedBody is the rest of a body that broke off.
type failedBody struct {
	err error
}

// Read returns why the body broke off.
func (b failedBody) Read([]byte) (int, error) {
	return 0, b.err
}

// requestBody is the body of a request at the gate. It may be closed while a
// read is blocked.
type requestBody struct {
	mu       sync.Mutex
	reader   *bodyReader
	closed   bool
	received chan struct{}
	// sendContinue asks the entry for the body; nil when it comes unasked. The answer is
	// sent only after finish, so that the two never mix on the stream.
	sendContinue func() error
	// arrivalStarted is closed once a body that was asked for begins to arrive, or the
	// stream has ended; nil when it comes unasked.
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

// Read reads the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.sendContinue != nil {
		sendContinue := b.sendContinue
		b.sendContinue = nil
		if err := sendContinue(); err != nil {
			return 0, err
		}
		<-b.arrivalStarted
	}
	return b.reader.Read(p)
}

func (b *requestBody) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// peerWatcher cancels a request once the peer closes its stream, which it does
// before the answer only when its caller left.
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

// stop ends the watch and every read, so that the stream's buffers are free.
func (w *peerWatcher) stop() {
	close(w.quit)
	w.stream.AbortRead()
	<-w.done
	w.body.close()
}
