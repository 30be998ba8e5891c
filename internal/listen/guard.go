package listen

import (
	"bytes"
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// headerTimeout bounds the time in which a request's headers arrive.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers; net/http answers 431 beyond it.
	maxHeaderBytes = 64 << 10
	// operatorWriteTimeout bounds the answers to operators and readiness checks, which would
	// otherwise be held by clients that don't read them.
	operatorWriteTimeout = 30 * time.Second
	// writeStallTimeout bounds one write to a caller, at most 32 KiB: it ends the answer to a
	// caller that takes under 0.3 KB a second.
	writeStallTimeout = 2 * time.Minute
	// idleTimeout bounds the time between two requests where the server states none.
	idleTimeout = 2 * time.Minute
	// logInterval is the shortest time between two lines about closed connections.
	logInterval = 10 * time.Second
)

// Reasons for which a connection is closed.
const (
	// ReasonConnections: the listener has its most connections.
	ReasonConnections = "connections"
	// ReasonHeads: the heads of all connections take the memory permitted.
	ReasonHeads = "heads"
)

// Meter counts closed connections.
type Meter interface {
	// ConnectionClosed counts a connection that a limit closed or refused.
	ConnectionClosed(listener, reason string)
}

// Guard bounds the connections and heads of the HTTP listeners of a process.
type Guard struct {
	limits Limits
	meter  Meter
	logger *log.Logger

	mu       sync.Mutex
	headUsed int64
	// large holds the tables' entries whose heads take memory of HeadBytes.
	large map[*entry]*Listener
	// lastLine is the time of the last log line, and unlogged counts the connections closed
	// since.
	lastLine time.Time
	unlogged int
}

// NewGuard returns a guard.
func NewGuard(limits Limits, meter Meter, logger *log.Logger) *Guard {
	return &Guard{limits: limits, meter: meter, logger: logger, large: map[*entry]*Listener{}}
}

// Closed counts a link or stream that a limit closed or refused.
func (g *Guard) Closed(listener, reason string) {
	g.mu.Lock()
	line := g.count(listener, reason, time.Now())
	g.mu.Unlock()
	line.finish()
}

// Limits returns the limits that the guard enforces.
func (g *Guard) Limits() Limits { return g.limits }

// Callers sets up the server of the callers' listener.
func (g *Guard) Callers(server *http.Server) *Listener {
	l := g.protect("callers", server, g.limits.Callers)
	l.writeStall = writeStallTimeout
	return l
}

// Operators sets up the server of a listener for operators or readiness checks.
func (g *Guard) Operators(name string, server *http.Server) *Listener {
	server.WriteTimeout = operatorWriteTimeout
	return g.protect(name, server, g.limits.Operators)
}

func (g *Guard) protect(name string, server *http.Server, limit int) *Listener {
	l := &Listener{guard: g, name: name, table: table{limit: limit}}
	server.ReadHeaderTimeout, server.MaxHeaderBytes = headerTimeout, maxHeaderBytes
	if server.IdleTimeout == 0 {
		server.IdleTimeout = idleTimeout
	}
	// net/http logs the errors of single connections.
	server.ErrorLog = stdlog.New(io.Discard, "", 0)
	server.Handler = l.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.endRequest()
		}
	}
	return l
}

// Listener bounds the connections that a listener accepts.
type Listener struct {
	net.Listener
	guard *Guard
	name  string
	table table // guarded by guard.mu
	// writeStall bounds one write; 0 sets no bound.
	writeStall time.Duration
}

// On returns l with its connections accepted from inner.
func (l *Listener) On(inner net.Listener) *Listener {
	l.Listener = inner
	return l
}

// Accept returns the next connection that finds a place.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		c.entry.close = func() { _ = raw.Close() } // the client is told nothing
		now := time.Now()
		l.guard.mu.Lock()
		victim := l.table.add(&c.entry, now)
		l.guard.releaseHead(victim)
		line := l.guard.note(l.name, ReasonConnections, victim, now)
		l.guard.mu.Unlock()
		line.finish(victim)
		if victim != &c.entry {
			return c, nil
		}
	}
}

// handler marks a connection as serving a request while next handles it.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if ok && !c.beginRequest() {
			panic(http.ErrAbortHandler) // the connection was closed before the request was handled
		}
		if ok && !r.ProtoAtLeast(1, 1) {
			// Only the end of the connection ends an answer without a length to such a client.
			defer func() {
				if cause := recover(); cause != nil {
					c.reset()
					panic(cause)
				}
			}()
		}
		next.ServeHTTP(w, r)
	})
}

// reset makes the close of the connection a reset, which no client takes for an ordinary end.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the client then sees an ordinary end, as without it
	}
}

type connKey struct{}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	entry    entry // guarded by the guard's mutex
	// serving reports that the bytes read belong to no head.
	serving atomic.Bool
	// headBytes and headLines are what the head in progress has taken so far.
	headBytes, headLines int
}

// Read reads and accounts for the bytes of a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.serving.Load() {
		c.account(p[:n])
	}
	return n, err
}

// Write writes within the listener's bound.
func (c *Conn) Write(p []byte) (int, error) {
	if stall := c.listener.writeStall; stall > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(stall)) // a closed connection fails the write
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the sending side, so that a client gets an error that net/http answers.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and frees its place.
func (c *Conn) Close() error {
	g := c.listener.guard
	g.mu.Lock()
	c.listener.table.remove(&c.entry)
	g.releaseHead(&c.entry)
	g.mu.Unlock()
	return c.Conn.Close()
}

// account adds bytes to the head in progress.
func (c *Conn) account(p []byte) {
	now := time.Now()
	l, g := c.listener, c.listener.guard
	g.mu.Lock()
	if c.entry.phase == phaseServing || c.entry.phase == phaseClosed {
		g.mu.Unlock()
		return
	}
	if c.entry.phase == phaseIdle {
		l.table.move(&c.entry, phaseHead, now)
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, []byte{'\n'})
	victims, line := g.charge(&c.entry, l, headCost(c.headBytes, c.headLines), now)
	g.mu.Unlock()
	line.finish(victims...)
}

// beginRequest reports false if the connection was closed.
func (c *Conn) beginRequest() bool {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.listener.table.move(&c.entry, phaseServing, time.Now())
	c.serving.Store(true)
	return c.entry.phase == phaseServing
}

// endRequest makes the connection idle.
func (c *Conn) endRequest() {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.headBytes, c.headLines = 0, 0
	c.serving.Store(false)
	g.releaseHead(&c.entry)
	c.listener.table.move(&c.entry, phaseIdle, time.Now())
}

// charge sets the memory of a connection's head. While all heads take more than permitted it
// closes those that are unfinished for the longest time, at last the connection's own. It
// returns the connections to close.
func (g *Guard) charge(e *entry, l *Listener, cost int64, now time.Time) ([]*entry, closeLine) {
	if cost == e.cost {
		return nil, closeLine{}
	}
	g.headUsed += cost - e.cost
	e.cost = cost
	g.large[e] = l
	var victims []*entry
	var line closeLine
	for g.headUsed > g.limits.HeadBytes {
		victim := g.longestHead()
		if victim == nil {
			break
		}
		from := g.large[victim]
		from.table.remove(victim)
		g.releaseHead(victim)
		if noted := g.note(from.name, ReasonHeads, victim, now); noted.count > 0 {
			line = noted
		}
		victims = append(victims, victim)
	}
	return victims, line
}

// longestHead returns the connection that takes memory for an unfinished head for the
// longest time. There are few: each takes a share of the memory for heads.
func (g *Guard) longestHead() *entry {
	var longest *entry
	for e := range g.large {
		if e.phase == phaseHead && (longest == nil || e.since.Before(longest.since)) {
			longest = e
		}
	}
	return longest
}

// releaseHead gives back the memory of a connection's head; nil is ignored.
func (g *Guard) releaseHead(e *entry) {
	if e == nil || e.cost == 0 {
		return
	}
	g.headUsed -= e.cost
	e.cost = 0
	delete(g.large, e)
}

// closeLine is a log line about closed connections. A count of 0 writes none.
type closeLine struct {
	logger           *log.Logger
	listener, reason string
	count            int
}

// note counts a connection that is being closed, if any, and returns the line that is due.
func (g *Guard) note(listener, reason string, victim *entry, now time.Time) closeLine {
	if victim == nil {
		return closeLine{}
	}
	return g.count(listener, reason, now)
}

// count counts a close and returns the line that is due.
func (g *Guard) count(listener, reason string, now time.Time) closeLine {
	g.meter.ConnectionClosed(listener, reason)
	g.unlogged++
	if now.Sub(g.lastLine) < logInterval {
		return closeLine{}
	}
	line := closeLine{logger: g.logger, listener: listener, reason: reason, count: g.unlogged}
	g.lastLine, g.unlogged = now, 0
	return line
}

// finish closes the connections and writes the line. The guard must not be locked.
func (l closeLine) finish(victims ...*entry) {
	for _, victim := range victims {
		if victim != nil {
			victim.close()
		}
	}
	if l.count > 0 {
		l.logger.Warn().Str("part", "listen").Str("listener", l.listener).Str("reason", l.reason).Int("count", l.count).
			Msg("closed connections of untrusted clients")
	}
}
