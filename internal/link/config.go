package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Config bounds the links of a node.
type Config struct {
	// DialTimeout bounds the making of a link. Default 1 s.
	DialTimeout time.Duration
	// KeepAliveInterval is the interval of probes on a link; negative is none. Default 5 s.
	KeepAliveInterval time.Duration
	// WriteTimeout bounds a blocked write. Default 5 s.
	WriteTimeout time.Duration
	// IdleTimeout closes a link without streams. Default 60 s.
	IdleTimeout time.Duration
	// AcceptsPerSecond bounds new incoming links. Default 100 a second.
	AcceptsPerSecond float64
	// AcceptBurst is the number of incoming links taken at once. Default 50.
	AcceptBurst int
	// UnackedTimeout ends a connection on which the peer acknowledges nothing for
	// that long, by the kernel's own probes and time-outs. Default 0: none.
	UnackedTimeout time.Duration
	// RedialBackoffBase is the shortest wait after a failed dial. Default 50 ms.
	RedialBackoffBase time.Duration
	// RedialBackoffMax is the longest wait after failed dials. Default 3 s.
	RedialBackoffMax time.Duration
}

// WithDefaults returns the configuration with defaults in place of zeros.
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
	y.AcceptBacklog = 1024
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
