package backend

import "time"

// Config says how to reach the backend server beside a node.
type Config struct {
	// Address is the server's address, IP:port. Required.
	Address string
	// Connections caps the connections to the server until SetConnections
	// is called. Default 8.
	Connections int
	// DialTimeout bounds the opening of a connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes unused connections. It is shorter than the usual
	// idle timeout of servers, so that a request seldom meets a connection
	// that the server is closing. Default 20 s.
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
