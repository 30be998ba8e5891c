package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// outgoingLink is the link to one peer address.
type outgoingLink struct {
	address       string
	activeSession atomic.Pointer[yamux.Session]
	lastUsedAt    atomic.Int64 // Unix nanoseconds of the last stream
	bootMillis    atomic.Int64 // BootMillis of the process behind live

	dialMu   sync.Mutex // one dial at a time
	backoff  time.Duration
	nextDial time.Time
}

// session returns the live session or dials one. During the back-off after a
// failed dial it fails at once.
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
		return nil, eris.Wrapf(ErrUnreachable, "%s: waiting to redial", o.address)
	}
	session, bootMillis, err := d.dial(ctx, o.address)
	if err != nil {
		o.backoff = decorrelatedJitter(d.cfg.RedialBackoffBase, o.backoff, d.cfg.RedialBackoffMax)
		o.nextDial = time.Now().Add(o.backoff)
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", o.address, err)
	}
	o.backoff = 0
	o.bootMillis.Store(bootMillis)
	o.activeSession.Store(session)
	return session, nil
}

func (o *outgoingLink) drop(session *yamux.Session) {
	if o.activeSession.CompareAndSwap(session, nil) {
		_ = session.Close()
	}
}

// closeIfIdle reports whether the peer can be forgotten.
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
