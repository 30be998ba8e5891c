package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"boragefall/internal/wire"
)

// Dialer manages the outgoing links of one class. There is one session per peer
// address: dialled on demand, closed when idle, and redialled with decorrelated
// jitter backoff.
type Dialer struct {
	cfg     Config
	class   Class
	self    Identity
	counter *Counter

	mu    sync.Mutex
	peers map[string]*outgoingLink
}

// NewDialer returns a dialer for one class of traffic.
func NewDialer(cfg Config, class Class, self Identity, counter *Counter) *Dialer {
	return &Dialer{
		cfg:     cfg.WithDefaults(),
		class:   class,
		self:    self,
		counter: counter,
		peers:   map[string]*outgoingLink{},
	}
}

// Open opens a stream to a peer and buffers its opening, which is sent with the
// first flush. Every error wraps ErrUnreachable and means that no byte of the
// opening was sent.
func (d *Dialer) Open(ctx context.Context, address string, opening *wire.Opening) (*Stream, error) {
	peer := d.peer(address)
	session, err := peer.session(ctx, d)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		peer.drop(session)
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	stream := newStream(conn)
	stream.Bind(ctx)
	stream.peerReadsRawText = peer.readsRawText.Load()
	if !stream.peerReadsRawText && !isValidText(opening) {
		stream.Close()
		return nil, eris.Wrap(ErrRawText, address)
	}
	if err := stream.Send(opening); err != nil {
		stream.Close()
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return stream, nil
}

func (d *Dialer) peer(address string) *outgoingLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.peers[address]
	if !ok {
		peer = &outgoingLink{address: address}
		d.peers[address] = peer
	}
	return peer
}

// Drop closes the link to an unresponsive peer, so that the next stream dials a
// new one. A connection that crosses a network partition may hang for minutes.
func (d *Dialer) Drop(address string) {
	d.mu.Lock()
	peer, ok := d.peers[address]
	d.mu.Unlock()
	if !ok {
		return
	}
	if session := peer.activeSession.Load(); session != nil {
		peer.drop(session)
	}
}

// CloseIdle removes each peer that has not been used for the idle timeout and has
// no open stream, and closes its link. Call it every few seconds.
func (d *Dialer) CloseIdle(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, peer := range d.peers {
		if peer.closeIfIdle(now, d.cfg.IdleTimeout) {
			delete(d.peers, address)
		}
	}
}

// LinkCount returns the number of open links.
func (d *Dialer) LinkCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, peer := range d.peers {
		if peer.activeSession.Load() != nil {
			count++
		}
	}
	return count
}

// Close closes all links.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, peer := range d.peers {
		if session := peer.activeSession.Swap(nil); session != nil {
			_ = session.Close()
		}
	}
}

// BootMillis returns the start time of the process that the latest link to a peer
// was made with, in Unix milliseconds by that process's clock. It returns 0 if the
// dialer knows of no link to the peer.
func (d *Dialer) BootMillis(address string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer, ok := d.peers[address]; ok {
		return peer.bootMillis.Load()
	}
	return 0
}

func (d *Dialer) dial(ctx context.Context, address string) (*yamux.Session, *wire.Hello, error) {
	netDialer := net.Dialer{Timeout: d.cfg.DialTimeout}
	conn, err := netDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	if err := setUnackedTimeout(conn, d.cfg.UnackedTimeout); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	counted := &countedConn{Conn: newCoalescingConn(conn), counter: d.counter, class: d.class}
	if _, err := counted.Write([]byte{byte(d.class)}); err != nil {
		_ = counted.Close()
		return nil, nil, err
	}
	session, err := yamux.Client(counted, d.cfg.yamux())
	if err != nil {
		_ = counted.Close()
		return nil, nil, err
	}
	hello, err := d.exchangeHello(session)
	if err != nil {
		_ = session.Close()
		return nil, nil, err
	}
	return session, hello, nil
}

// exchangeHello exchanges Hello messages and returns the peer's.
func (d *Dialer) exchangeHello(session *yamux.Session) (*wire.Hello, error) {
	conn, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	stream := newStream(conn)
	defer stream.Close()
	_ = conn.SetDeadline(time.Now().Add(d.cfg.DialTimeout))
	opening := &wire.Opening{Kind: &wire.Opening_Hello{Hello: d.self.hello()}}
	if err := stream.Send(opening); err != nil {
		return nil, err
	}
	if err := stream.Flush(); err != nil {
		return nil, err
	}
	answer := &wire.Hello{}
	if err := stream.Receive(answer); err != nil {
		return nil, err
	}
	if answer.GetProtocol() == 0 {
		return nil, ErrProtocol
	}
	return answer, nil
}

// decorrelatedJitter returns the next backoff after a failure: a random duration
// between base and three times the previous backoff, at most maxWait.
func decorrelatedJitter(base, previous, maxWait time.Duration) time.Duration {
	upper := max(3*previous, base+1)
	wait := base + time.Duration(rand.Int64N(int64(upper-base)+1))
	return min(wait, maxWait)
}
