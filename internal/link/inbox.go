package link

import (
	"encoding/binary"
	"net"
	"sync"
)

// Parts of a frame's header in yamux, version 0: version, type, flags, stream and length.
const (
	yamuxHeaderBytes = 12
	yamuxData        = 0
	yamuxPing        = 2
	yamuxSYN         = 1 << 0
	yamuxFIN         = 1 << 2
	yamuxRST         = 1 << 3
)

// maxStrays is the number of frames in a row of streams that are not open after which a link
// is closed. An ordinary peer sends a few after the end of a stream; each costs yamux a line.
const maxStrays = 64

// inboxStreamBytes is the memory of a stream that its peer has opened, in yamux and here.
const inboxStreamBytes = 512

// inboxes bounds the bytes that peers have sent on the streams of all incoming links and
// that are kept: yamux keeps up to 256 KiB a stream until its handler reads them, and their
// buffer until the stream ends. It is safe for concurrent use.
type inboxes struct {
	limit int64 // 0 sets no limit
	// closed counts a link that was closed.
	closed func()

	mu    sync.Mutex
	used  int64
	links map[*inbox]struct{}
}

func newInboxes(limit int64, closed func()) *inboxes {
	return &inboxes{limit: limit, closed: closed, links: map[*inbox]struct{}{}}
}

// inbox accounts for the bytes kept for one link. It reads the link's connection, and
// follows the frames of yamux in what passes.
type inbox struct {
	net.Conn
	all *inboxes
	// kill closes the link at once.
	kill func()

	header  [yamuxHeaderBytes]byte
	have    int    // bytes of the header that were read
	payload uint32 // bytes left of a data frame
	strays  int    // frames in a row of streams that are not open
	// The fields below are guarded by all.mu.
	used    int64
	streams map[uint32]*inboxStream
	dead    bool
}

// inboxStream is what one stream takes.
type inboxStream struct {
	// kept is the most bytes that were received and not read at any time.
	kept, unread int64
	// extra is the memory of decoded messages.
	extra                     int64
	localClosed, remoteClosed bool
}

// newInbox returns the inbox of a new link. The link's connection is closed when it takes
// the most of all links at the limit.
func (a *inboxes) newInbox(conn *coalescingConn) *inbox {
	box := &inbox{Conn: conn, all: a, streams: map[uint32]*inboxStream{}}
	box.kill = func() {
		conn.abandon()
		_ = conn.Conn.Close() // yamux ends the session
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links[box] = struct{}{}
	return box
}

// Read reads from the connection and accounts for the frames in p.
func (b *inbox) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.all.limit > 0 {
		b.scan(p[:n])
	}
	return n, err
}

// scan follows the frames in p.
func (b *inbox) scan(p []byte) {
	for len(p) > 0 {
		if b.payload > 0 {
			n := min(int(b.payload), len(p))
			p, b.payload = p[n:], b.payload-uint32(n)
			continue
		}
		n := copy(b.header[b.have:], p)
		p, b.have = p[n:], b.have+n
		if b.have == yamuxHeaderBytes {
			b.have = 0
			b.startFrame()
		}
	}
}

// startFrame accounts for a frame at its header: yamux allocates its length then.
func (b *inbox) startFrame() {
	length := int64(0)
	if b.header[1] == yamuxData {
		b.payload = binary.BigEndian.Uint32(b.header[8:])
		length = int64(b.payload)
	}
	flags, id := binary.BigEndian.Uint16(b.header[2:]), binary.BigEndian.Uint32(b.header[4:])
	if flags&yamuxSYN != 0 {
		b.open(id)
	}
	known := b.update(id, func(s *inboxStream) {
		s.unread += length
		s.remoteClosed = s.remoteClosed || flags&(yamuxFIN|yamuxRST) != 0
	})
	if known || b.header[1] == yamuxPing {
		b.strays = 0
		return
	}
	if b.strays++; b.strays == maxStrays {
		b.all.closed()
		b.kill()
	}
}

// read accounts for bytes that the stream's handler has read.
func (b *inbox) read(id uint32, n int) {
	b.update(id, func(s *inboxStream) { s.unread -= int64(n) })
}

// keep accounts for the memory of a decoded message, which is held until the stream ends.
func (b *inbox) keep(id uint32, n int64) {
	b.update(id, func(s *inboxStream) { s.extra += n })
}

// closeStream accounts for the end of the stream on this side.
func (b *inbox) closeStream(id uint32) {
	b.update(id, func(s *inboxStream) { s.localClosed = true })
}

// open starts the account of a stream. Frames of streams that have ended are not counted:
// yamux discards them.
func (b *inbox) open(id uint32) {
	b.all.mu.Lock()
	defer b.all.mu.Unlock()
	if b.dead || b.streams[id] != nil {
		return
	}
	b.streams[id] = &inboxStream{extra: inboxStreamBytes}
	b.add(inboxStreamBytes)
}

// update changes the account of a stream and enforces the limit. It reports whether the stream
// is open.
func (b *inbox) update(id uint32, change func(*inboxStream)) bool {
	b.all.mu.Lock()
	s := b.streams[id]
	if b.dead || s == nil {
		b.all.mu.Unlock()
		return false
	}
	before := s.kept + s.extra
	change(s)
	s.kept = max(s.kept, s.unread)
	b.add(s.kept + s.extra - before)
	if s.localClosed && s.remoteClosed {
		b.add(-s.kept - s.extra)
		delete(b.streams, id)
	}
	victim := b.all.victim()
	b.all.mu.Unlock()
	if victim != nil {
		b.all.closed()
		victim.kill()
	}
	return true
}

func (b *inbox) add(n int64) {
	b.used += n
	b.all.used += n
}

// victim removes the link that takes the most if all take more than the limit.
func (a *inboxes) victim() *inbox {
	if a.used <= a.limit {
		return nil
	}
	var largest *inbox
	for box := range a.links {
		if largest == nil || box.used > largest.used {
			largest = box
		}
	}
	a.removeLocked(largest)
	return largest
}

// remove ends the account of a link.
func (a *inboxes) remove(b *inbox) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeLocked(b)
}

func (a *inboxes) removeLocked(b *inbox) {
	if b == nil || b.dead {
		return
	}
	b.dead = true
	a.used -= b.used
	delete(a.links, b)
}
