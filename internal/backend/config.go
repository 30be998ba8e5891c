package backend

import "time"

// Config configures the client of the backend server beside a node.
type Config struct {
	// Address is the server's address, IP:port. Required.
	Address string
	// Connections is the initial limit on connections to the server, see
	// SetConnections. Default 8.
	Connections int
	// DialTimeout bounds the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It is shorter than the
	// usual idle timeout of servers, so that a request is seldom sent on a
	// connection that the server is closing. Default 20 s.
	IdleTimeout time.Duration
}

const (
	defaultConnections = 8
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 20 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	return c
}
