// Package serverconn keeps HTTP/1.1 connections to the backend server beside a
// node. It carries one request at a time on each, tells whether a failed one
// may have run, and never takes bytes that belong to no request, or to an
// earlier one, for the answer.
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

// Config describes the connections. Zero fields take their defaults.
type Config struct {
	// Address is the server's, IP:port. Required.
	Address string
	// DialTimeout bounds the making of a connection. Default 500 ms: the
	// server is on the same host.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept when the server does
	// not tell its own limit. Default 5 s.
	IdleTimeout time.Duration
	// FreshIdleTimeout is how long a connection may have been unused for a request that
	// must not run twice: a server may have forgotten an older one, and then
	// nobody can say whether the request ran. Default 2 s.
	FreshIdleTimeout time.Duration
	// Now tells the time by which idle connections age. Default time.Now.
	Now func() time.Time
	// MaxConnections bounds the connections until SetMaxConnections. Default 64.
	MaxConnections int
}

const (
	defaultDialTimeout      = 500 * time.Millisecond
	defaultIdleTimeout      = 5 * time.Second
	defaultFreshIdleTimeout = 2 * time.Second
	defaultMaxConnections   = 64

	// idleMargin is taken off the server's own limit, so that a request does
	// not cross the server's close.
	idleMargin = 700 * time.Millisecond
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
	idle   []*conn // the one used last stands last
	open   int
	limit  int
	opened uint64
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{cfg: cfg, limit: cfg.MaxConnections}
}

// SetMaxConnections bounds the connections from now on.
func (p *Pool) SetMaxConnections(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 {
		p.limit = limit
	}
}

// Opened returns the number of connections made so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the connections that are not in use, after which a request
// starts on a new one.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	headLimit   *headLimitReader
	writer      *bufio.Writer
	idleSince   time.Time
	idleTimeout time.Duration
}

// get returns an idle connection that is still good, or a new one.
func (p *Pool) get(ctx context.Context, mustBeFresh bool) (*conn, error) {
	for {
		c := p.takeIdle(mustBeFresh)
		if c == nil {
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

// takeIdle returns the connection used last when it must be fresh, and else the one
// that was unused longest, so that all stay fresh by what may run twice.
func (p *Pool) takeIdle(mustBeFresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	if !mustBeFresh {
		c := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		return c
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
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

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.idleSince, c.idleTimeout = p.cfg.Now(), p.cfg.IdleTimeout
	if idleTimeout > 0 {
		c.idleTimeout = max(idleTimeout-idleMargin, 0)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	// The connection is not used again; an error of its close changes nothing.
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reusable reports whether an idle connection is open and has nothing to read.
// Bytes on an idle connection belong to no request.
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
