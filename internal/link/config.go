package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Config sets the timeouts and limits of a node's links.
type Config struct {
	// DialTimeout limits each step of setting up a link: the TCP connect, the
	// listener's read of the class byte, and the Hello exchange. Default 1 s.
	DialTimeout time.Duration
	// KeepAliveInterval is the interval of yamux keep-alives; a negative value
	// disables them. Default 5 s.
	KeepAliveInterval time.Duration
	// WriteTimeout limits a blocked write and the opening of a stream. Default 5 s.
	WriteTimeout time.Duration
	// IdleTimeout is how long a link without streams stays open. Default 60 s.
	IdleTimeout time.Duration
	// AcceptsPerSecond limits the rate of new incoming links. Default 100.
	AcceptsPerSecond float64
	// AcceptBurst is the number of incoming links accepted in one burst. Default 50.
	AcceptBurst int
	// UnackedTimeout is how long the peer's kernel may acknowledge nothing before
	// the connection ends. It is enforced by TCP keep-alive and TCP_USER_TIMEOUT.
	// Default 0: no limit.
	UnackedTimeout time.Duration
	// Limits bounds what the peers of a listener can take. Default: no limits.
	Limits Limits
	// RedialBackoffBase is the shortest delay before redialling a peer. Default 50 ms.
	RedialBackoffBase time.Duration
	// RedialBackoffMax is the longest delay before redialling a peer. Default 3 s.
	RedialBackoffMax time.Duration
}

// WithDefaults returns a copy of c in which defaults replace zero values.
func (c Config) WithDefaults() Config {
	setDefault(&c.DialTimeout, time.Second)
	setDefault(&c.KeepAliveInterval, 5*time.Second)
	setDefault(&c.WriteTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, 60*time.Second)
	setDefault(&c.AcceptsPerSecond, 100)
	setDefault(&c.AcceptBurst, 50)
	setDefault(&c.RedialBackoffBase, 50*time.Millisecond)
	setDefault(&c.RedialBackoffMax, 3*time.Second)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) yamux() *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = acceptBacklog
	y.EnableKeepAlive = c.KeepAliveInterval > 0
	if y.EnableKeepAlive {
		y.KeepAliveInterval = c.KeepAliveInterval
	}
	y.ConnectionWriteTimeout = c.WriteTimeout
	y.StreamOpenTimeout = c.WriteTimeout
	y.StreamCloseTimeout = c.IdleTimeout
	y.LogOutput = io.Discard
	return y
}
