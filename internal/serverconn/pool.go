// Package serverconn keeps HTTP/1.1 connections to the backend server beside a
// node. Each connection carries one request at a time. The package reports whether
// a failed request may have run, and never mistakes bytes that belong to no request,
// or to an earlier one, for the answer.
package serverconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrConnectionLimit reports that the server's connections are all in use.
var ErrConnectionLimit = eris.New("all connections to the server are in use")

// Config configures a Pool. Zero fields take their defaults.
type Config struct {
	// Address is the address of the server, IP:port. Required.
	Address string
	// DialTimeout bounds the time to open a connection. Default 500 ms, since
	// the server is on the same host.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the server does not
	// state its own idle timeout. Default 5 s.
	IdleTimeout time.Duration
	// FreshIdleTimeout is how long a connection may have been idle to be used
	// for a non-idempotent request: the server may have dropped an older
	// connection, and then it is unknown whether the request ran. Default 2 s.
	FreshIdleTimeout time.Duration
	// Now is the clock for the age of idle connections. Default time.Now.
	Now func() time.Time
	// MaxConnections is the initial limit on connections, see SetMaxConnections.
	// Default 64.
	MaxConnections int
}

const (
	defaultDialTimeout      = 500 * time.Millisecond
	defaultIdleTimeout      = 5 * time.Second
	defaultFreshIdleTimeout = 2 * time.Second
	defaultMaxConnections   = 64

	// idleMargin is subtracted from the idle timeout that the server states, so
	// that a request is not sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxRefusedIDs bounds the refusals on one connection; it is closed after the last.
	maxRefusedIDs = 256
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 4 << 10
)

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.FreshIdleTimeout == 0 {
		c.FreshIdleTimeout = defaultFreshIdleTimeout
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	idle   []*conn // the most recently used one is last
	open   int
	limit  int
	opened uint64
}

// NewPool returns a pool without open connections.
func NewPool(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{cfg: cfg, limit: cfg.MaxConnections}
}

// SetMaxConnections changes the limit on connections. Values below 1 are ignored.
func (p *Pool) SetMaxConnections(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 {
		p.limit = limit
	}
}

// Opened returns the number of connections dialed so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes all idle connections, so that the next request uses a new one.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// conn is a pooled connection to the server.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	headLimit   *headLimitReader
	writer      *bufio.Writer
	idleSince   time.Time
	idleTimeout time.Duration
	// refused holds the IDs of the requests that the server refused on this connection. A
	// faulty server may write a refusal once more, so none of them is sent on it again.
	refused []string
}

// get returns a reusable idle connection for a request, or dials a new one.
func (p *Pool) get(ctx context.Context, id string, mustBeFresh bool) (*conn, error) {
	for {
		c := p.takeIdle(id, mustBeFresh)
		if c == nil {
			p.makeRoom()
			return p.dial(ctx)
		}
		idle := p.cfg.Now().Sub(c.idleSince)
		if idle >= c.idleTimeout || mustBeFresh && idle >= p.cfg.FreshIdleTimeout || !c.reusable() {
			p.discard(c)
			continue
		}
		return c, nil
	}
}

// takeIdle removes an idle connection on which a request was not refused from the pool.
// It returns the most recently used one if it must be fresh, and otherwise the least
// recently used one, so that idempotent requests keep all connections fresh.
func (p *Pool) takeIdle(id string, mustBeFresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.idle {
		i := n
		if mustBeFresh {
			i = len(p.idle) - 1 - n
		}
		if c := p.idle[i]; !slices.Contains(c.refused, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom closes the least recently used idle connection if the limit is reached. Idle
// connections remain only if the request must not use them.
func (p *Pool) makeRoom() {
	p.mu.Lock()
	var oldest *conn
	if p.open >= p.limit && len(p.idle) > 0 {
		oldest = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.mu.Unlock()
	if oldest != nil {
		p.discard(oldest)
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	p.open++
	p.opened++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.cfg.DialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", p.cfg.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	head := &headLimitReader{source: raw}
	return &conn{
		Conn:      raw,
		reader:    bufio.NewReaderSize(head, bufferBytes),
		headLimit: head,
		writer:    bufio.NewWriterSize(raw, bufferBytes),
	}, nil
}

// put returns a connection to the pool for the next request.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.idleSince, c.idleTimeout = p.cfg.Now(), p.cfg.IdleTimeout
	if idleTimeout > 0 {
		c.idleTimeout = max(idleTimeout-idleMargin, 0)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// discard closes a connection that has been removed from the pool.
func (p *Pool) discard(c *conn) {
	// The connection is not used again, so an error from Close has no effect.
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reusable reports whether an idle connection is open and has no bytes to read.
// Bytes received on an idle connection belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}
