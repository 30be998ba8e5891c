package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"boragefall/internal/listen"
	"boragefall/internal/wire"
)

// Handler serves the streams that peers open. The listener closes the stream when
// ServeStream returns.
type Handler interface {
	ServeStream(ctx context.Context, class Class, opening *wire.Opening, stream *Stream)
}

// Refuser is a Handler that refuses streams for which the listener has no place.
type Refuser interface {
	// RefuseStream tells the peer that its stream is not served. The opening was not read.
	RefuseStream(class Class, stream *Stream) error
}

// Listener accepts incoming links and passes their streams to a Handler.
type Listener struct {
	cfg           Config
	self          Identity
	counter       *Counter
	handler       Handler
	logger        *log.Logger
	listener      net.Listener
	acceptLimiter *rate.Limiter
	intake        *intake

	mu         sync.Mutex
	sessions   map[*yamux.Session]acceptedLink
	closed     bool
	goroutines sync.WaitGroup
}

// acceptedLink is an incoming link.
type acceptedLink struct {
	class Class
	conn  *coalescingConn
	place *listen.Place
	inbox *inbox
	// peerReadsRawText reports that the peer's Hello said that it reads text that is not UTF-8.
	peerReadsRawText *atomic.Bool
	// refusals refuses the streams that have no place.
	refusals *refusals
}

// NewListener returns a Listener that accepts connections from a TCP listener.
func NewListener(cfg Config, self Identity, counter *Counter, listener net.Listener, handler Handler, logger *log.Logger) *Listener {
	cfg = cfg.WithDefaults()
	return &Listener{
		cfg:           cfg,
		self:          self,
		counter:       counter,
		handler:       handler,
		logger:        logger,
		listener:      listener,
		acceptLimiter: rate.NewLimiter(rate.Limit(cfg.AcceptsPerSecond), cfg.AcceptBurst),
		intake:        newIntake(cfg.Limits),
		sessions:      map[*yamux.Session]acceptedLink{},
	}
}

// Address returns the listening address.
func (l *Listener) Address() string {
	return l.listener.Addr().String()
}

// Serve accepts links until the context ends or the listener closes. The accept
// rate is limited, because many peers may reconnect at the same time.
func (l *Listener) Serve(ctx context.Context) {
	for {
		if err := l.acceptLimiter.Wait(ctx); err != nil {
			return
		}
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.logger.Warn().Str("part", "link").Err(err).Msg("accept failed")
			time.Sleep(l.cfg.RedialBackoffBase)
			continue
		}
		l.goroutines.Add(1)
		go l.serveConn(ctx, conn)
	}
}

func (l *Listener) serveConn(ctx context.Context, conn net.Conn) {
	defer l.goroutines.Done()
	place := l.intake.links.Enter(func() { _ = conn.Close() }, time.Now())
	if place == nil {
		return
	}
	defer place.Leave()
	session, accepted, err := l.handshake(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	accepted.place, accepted.refusals = place, &refusals{}
	defer l.intake.inboxes.remove(accepted.inbox)
	if !l.track(session, accepted) {
		_ = session.Close()
		return
	}
	defer l.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if l.intake.overStreams(session) {
			l.intake.excessive()
			return
		}
		// An error of a deadline shows in the read. The place's loss expires it later.
		_ = stream.SetReadDeadline(time.Now().Add(openingTimeout))
		place := l.intake.streams.Enter(func() { _ = stream.SetReadDeadline(pastDeadline) }, time.Now())
		if place == nil {
			// More streams of the link wait meanwhile, without a goroutine.
			accepted.refusals.refuse(l.handler, accepted.class, inboxConn{stream, accepted.inbox})
			continue
		}
		l.goroutines.Add(1)
		go l.serveStream(ctx, session, accepted, stream, place)
	}
}

func (l *Listener) handshake(conn net.Conn) (*yamux.Session, acceptedLink, error) {
	if err := setUnackedTimeout(conn, l.cfg.UnackedTimeout); err != nil {
		return nil, acceptedLink{}, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(l.cfg.DialTimeout))
	var classByte [1]byte
	if _, err := conn.Read(classByte[:]); err != nil {
		return nil, acceptedLink{}, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	class := Class(classByte[0])
	if class >= classCount {
		return nil, acceptedLink{}, ErrMalformed
	}
	accepted := acceptedLink{class: class, conn: newCoalescingConn(conn), peerReadsRawText: &atomic.Bool{}}
	accepted.inbox = l.intake.inboxes.newInbox(accepted.conn)
	counted := &countedConn{Conn: accepted.inbox, counter: l.counter, class: class}
	session, err := yamux.Server(counted, l.cfg.yamux())
	if err != nil {
		_ = counted.Close()
		return nil, acceptedLink{}, err
	}
	return session, accepted, nil
}

func (l *Listener) serveStream(ctx context.Context, session *yamux.Session, accepted acceptedLink, conn *yamux.Stream, place *listen.Place) {
	defer l.goroutines.Done()
	defer place.Leave()
	stream := newStream(inboxConn{conn, accepted.inbox})
	stream.maxMessage = maxIncomingBytes
	stream.peerReadsRawText = accepted.peerReadsRawText.Load()
	opening := &wire.Opening{}
	err := l.receiveOpening(stream, place, opening)
	if errors.Is(err, errPlaceLost) && l.intake.beginRefusal() {
		defer l.intake.endRefusal()
		stream.release()
		accepted.refusals.refuse(l.handler, accepted.class, inboxConn{conn, accepted.inbox})
		return
	}
	defer stream.Close()
	if err != nil {
		l.closeIfMalformed(session, err)
		return
	}
	if !accepted.place.Begin(time.Now()) {
		return // the link was closed
	}
	defer func() { accepted.place.End(time.Now()) }()
	if hello := opening.GetHello(); hello != nil {
		accepted.peerReadsRawText.Store(hello.GetRawText())
		_ = stream.Send(l.self.hello())
		_ = stream.Flush()
		return
	}
	l.handler.ServeStream(ctx, accepted.class, opening, stream)
}

// errPlaceLost reports that the place of a stream was given to another one before its first
// message was complete.
var errPlaceLost = eris.New("place of the stream was given to another")

// receiveOpening receives the first message of a stream and takes its read deadline away.
func (l *Listener) receiveOpening(stream *Stream, place *listen.Place, opening *wire.Opening) error {
	size, err := stream.receive(opening)
	if !place.Begin(time.Now()) {
		return errPlaceLost
	}
	if err != nil {
		return err
	}
	if !keepOpening(stream.conn, opening, size) {
		return eris.Wrapf(ErrMalformed, "more than %d headers", maxOpeningHeaders)
	}
	return stream.conn.SetReadDeadline(time.Time{})
}

// closeIfMalformed closes the link if err shows that the peer violated the
// protocol. Other links stay open.
func (l *Listener) closeIfMalformed(session *yamux.Session, err error) {
	if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrFrameTooLong) {
		return
	}
	if session.IsClosed() {
		return
	}
	l.intake.malformed()
	l.intake.lines.Do(func() {
		l.logger.Warn().Str("part", "link").Str("peer", session.RemoteAddr().String()).Err(err).Msg("malformed message, closing link")
	})
	_ = session.Close()
}

func (l *Listener) track(session *yamux.Session, accepted acceptedLink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[session] = accepted
	return true
}

func (l *Listener) untrack(session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, session)
	_ = session.Close()
}

// Close stops accepting, closes all incoming links and waits for running handlers.
func (l *Listener) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for session := range l.sessions {
		_ = session.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}
