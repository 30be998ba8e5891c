package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// outgoing is the link to one peer address.
type outgoing struct {
	address string
	live    atomic.Pointer[yamux.Session]
	usedAt  atomic.Int64 // Unix nanoseconds of the last stream
	boot    atomic.Int64 // BootMillis of the process behind live

	mu       sync.Mutex // one dial at a time
	backoff  time.Duration
	nextDial time.Time
}

// session returns the live session or dials one. During the back-off after a
// failed dial it fails at once.
func (o *outgoing) session(ctx context.Context, d *Dialer) (*yamux.Session, error) {
	o.usedAt.Store(time.Now().UnixNano())
	if session := o.live.Load(); session != nil && !session.IsClosed() {
		return session, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if session := o.live.Load(); session != nil && !session.IsClosed() {
		return session, nil
	}
	if time.Now().Before(o.nextDial) {
		return nil, eris.Wrapf(ErrUnreachable, "%s: waiting to redial", o.address)
	}
	session, boot, err := d.dial(ctx, o.address)
	if err != nil {
		o.backoff = decorrelated(d.cfg.RedialBase, o.backoff, d.cfg.RedialMax)
		o.nextDial = time.Now().Add(o.backoff)
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", o.address, err)
	}
	o.backoff = 0
	o.boot.Store(boot)
	o.live.Store(session)
	return session, nil
}

func (o *outgoing) drop(session *yamux.Session) {
	if o.live.CompareAndSwap(session, nil) {
		_ = session.Close()
	}
}

// closeIfIdle reports whether the peer can be forgotten.
func (o *outgoing) closeIfIdle(now time.Time, idle time.Duration) bool {
	if now.Sub(time.Unix(0, o.usedAt.Load())) < idle {
		return false
	}
	session := o.live.Load()
	if session == nil {
		return true
	}
	if session.NumStreams() > 0 {
		return false
	}
	o.drop(session)
	return true
}
