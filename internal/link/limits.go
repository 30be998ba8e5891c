package link

import (
	"net"
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
	// streamsPerLinkDivisor yields the share of all streams that one link may have.
	streamsPerLinkDivisor = 2
	// halfClosedFactor is the number of streams that one link may have for each that it may
	// use: those that are closed on one side count, too.
	halfClosedFactor = 2
	// logInterval is the shortest time between two lines about closed links.
	logInterval = 10 * time.Second
)

// intake enforces the limits of a listener.
type intake struct {
	links, streams *listen.Places
	inboxes        *inboxes
	perLink        int // 0 sets no limit
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
		inboxes: newInboxes(l.Bytes, counter("bytes")), perLink: l.Streams / streamsPerLinkDivisor,
		excessive: counter("streams"), malformed: counter("malformed"),
		lines: rate.Sometimes{Interval: logInterval},
	}
}

// overStreams reports whether a link has more streams than an ordinary peer opens.
func (i *intake) overStreams(session *yamux.Session) bool {
	return i.perLink > 0 && session.NumStreams() > i.perLink*halfClosedFactor
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
