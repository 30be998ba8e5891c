package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// outgoingLink is the link to one peer address.
type outgoingLink struct {
	address       string
	activeSession atomic.Pointer[yamux.Session]
	lastUsedAt    atomic.Int64 // when a session was last requested, in Unix nanoseconds
	bootMillis    atomic.Int64 // the peer's BootMillis at the last successful dial
	readsRawText  atomic.Bool  // the peer's RawText at the last successful dial

	dialMu   sync.Mutex // serialises dials; guards the fields below
	backoff  time.Duration
	nextDial time.Time
	// dialErr is ErrUnreachable or ErrNoListener, after the last failed dial.
	dialErr error
}

// session returns the active session or dials a new one. During the backoff after
// a failed dial it fails immediately.
func (o *outgoingLink) session(ctx context.Context, d *Dialer) (*yamux.Session, error) {
	o.lastUsedAt.Store(time.Now().UnixNano())
	if session := o.activeSession.Load(); session != nil && !session.IsClosed() {
		return session, nil
	}
	o.dialMu.Lock()
	defer o.dialMu.Unlock()
	if session := o.activeSession.Load(); session != nil && !session.IsClosed() {
		return session, nil
	}
	if time.Now().Before(o.nextDial) {
		return nil, eris.Wrapf(o.dialErr, "%s: waiting to redial", o.address)
	}
	session, hello, err := d.dial(ctx, o.address)
	if err != nil {
		o.backoff = decorrelatedJitter(d.cfg.RedialBackoffBase, o.backoff, d.cfg.RedialBackoffMax)
		o.nextDial = time.Now().Add(o.backoff)
		o.dialErr = ErrUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.dialErr = ErrNoListener
		}
		return nil, eris.Wrapf(o.dialErr, "%s: %v", o.address, err)
	}
	o.backoff = 0
	o.bootMillis.Store(hello.GetBootMillis())
	o.readsRawText.Store(hello.GetRawText())
	o.activeSession.Store(session)
	return session, nil
}

func (o *outgoingLink) drop(session *yamux.Session) {
	if o.activeSession.CompareAndSwap(session, nil) {
		_ = session.Close()
	}
}

// closeIfIdle closes the link if it is idle. It reports whether the peer can be
// removed from the dialer.
func (o *outgoingLink) closeIfIdle(now time.Time, idleTimeout time.Duration) bool {
	if now.Sub(time.Unix(0, o.lastUsedAt.Load())) < idleTimeout {
		return false
	}
	session := o.activeSession.Load()
	if session == nil {
		return true
	}
	if session.NumStreams() > 0 {
		return false
	}
	o.drop(session)
	return true
}
