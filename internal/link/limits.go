package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/time/rate"

	"boragefall/internal/listen"
	"boragefall/internal/wire"
)

// Limits bounds what the peers of a listener can take. A zero field sets no limit.
type Limits struct {
	// Links and Streams bound the links and the streams open on all of them.
	Links, Streams int
	// Bytes bounds what is kept of the bytes received.
	Bytes int64
	// Closed counts a link or stream that a limit closed; nil counts none.
	Closed func(listener, reason string)
}

const (
	// maxIncomingBytes bounds a message that a peer sends to a listener: a request's head of
	// 64 KiB with its names repeated fits, and so does a chunk of a body.
	maxIncomingBytes = 256 << 10
	// maxOpeningHeaders bounds the headers of a request. A head of 64 KiB at an entry holds
	// at most this many lines of four bytes.
	maxOpeningHeaders = 16 << 10
	// headerCost is the memory of a decoded header besides its text.
	headerCost = 250
	// openingTimeout bounds the time from the opening of a stream to its first message,
	// which ordinary peers send at once.
	openingTimeout = 10 * time.Second
	// acceptBacklog is the number of streams of a link that may wait to be accepted. A peer
	// opens no more before the first ones are accepted.
	acceptBacklog = 1024
	// refusalFactor yields the streams that lost their place and may wait for their refusal,
	// by the number of all streams: those to a peer that reads nothing take memory, too. A
	// waiting one takes a stack of some 5 KiB, a fifth of a stream with a place.
	refusalFactor = 2
	// refusalTimeout bounds the time in which a refusal is sent.
	refusalTimeout = time.Second
	// logInterval is the shortest time between two lines about closed links.
	logInterval = 10 * time.Second
)

// intake enforces the limits of a listener.
type intake struct {
	links, streams *listen.Places
	inboxes        *inboxes
	streamLimit    int // 0 sets no limit
	// refusing counts the streams that lost their place and are being refused.
	refusing atomic.Int64
	// excessive and malformed count links closed for their streams or messages.
	excessive, malformed func()
	// lines bounds the log lines about such links.
	lines rate.Sometimes
}

func newIntake(l Limits) *intake {
	counter := func(reason string) func() {
		return func() {
			if l.Closed != nil {
				l.Closed("links", reason)
			}
		}
	}
	return &intake{
		links: listen.NewPlaces(l.Links, counter("connections")), streams: listen.NewPlaces(l.Streams, counter("streams")),
		inboxes: newInboxes(l.Bytes, counter("bytes")), streamLimit: l.Streams,
		excessive: counter("streams"), malformed: counter("malformed"),
		lines: rate.Sometimes{Interval: logInterval},
	}
}

// overStreams reports whether a link has more streams than an ordinary peer opens. Besides
// those that have a place, streams count that wait to be accepted or that only the peer has
// not closed yet. Closing the link ends the requests that run, so a burst must not cause it.
func (i *intake) overStreams(session *yamux.Session) bool {
	return i.streamLimit > 0 && session.NumStreams() > i.streamLimit+acceptBacklog
}

// beginRefusal reports whether one more stream that lost its place may wait for its refusal.
// The caller must call endRefusal if so.
func (i *intake) beginRefusal() bool {
	if i.refusing.Add(1) <= int64(i.streamLimit*refusalFactor) {
		return true
	}
	i.endRefusal()
	return false
}

func (i *intake) endRefusal() {
	i.refusing.Add(-1)
}

// refusals sends the refusals of one link one after the other.
type refusals struct {
	mu sync.Mutex
	// failed reports that the peer did not take one in time. It gets no more.
	failed bool
}

// refuse closes a stream that has no place. Without an answer its peer could not know that
// the request has not run, so the handler refuses it first.
func (r *refusals) refuse(handler Handler, class Class, conn inboxConn) {
	refuser, ok := handler.(Refuser)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || r.failed {
		_ = conn.Close() // the peer sees the end of the stream
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // an error shows in the write
	stream := newStream(conn)
	defer stream.Close()
	r.failed = refuser.RefuseStream(class, stream) != nil
}

// inboxConn counts what a stream's handler reads.
type inboxConn struct {
	*yamux.Stream
	box *inbox
}

// Read reads from the stream.
func (c inboxConn) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	if n > 0 {
		c.box.read(c.StreamID(), n)
	}
	return n, err
}

// Close closes the stream.
func (c inboxConn) Close() error {
	err := c.Stream.Close()
	c.box.closeStream(c.StreamID())
	return err
}

// keepOpening accounts for a decoded opening, which its handler holds. It reports false if
// the opening has more headers than a request may have.
func keepOpening(conn net.Conn, opening *wire.Opening, size int) bool {
	headers := len(opening.GetRequest().GetHeaders())
	if c, ok := conn.(inboxConn); ok && headers <= maxOpeningHeaders {
		c.box.keep(c.StreamID(), max(int64(size+headers*headerCost-streamBufferBytes*2), 0))
	}
	return headers <= maxOpeningHeaders
}
