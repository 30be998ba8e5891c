package feed

import "time"

// Config tunes a Feed. Zero fields take their defaults.
type Config struct {
	// WatchWait is how long a watch waits for an event. Default 600 ms: the end of a
	// watch shows followers that the store still answers the reader, and that
	// the watch did not go deaf when the store forgot its history.
	WatchWait time.Duration
	// FollowWait is how long a followed node waits for something newer, and
	// MinFollowWait the least of that when its copy is about to get too old. Defaults
	// 500 ms and 100 ms.
	FollowWait, MinFollowWait time.Duration
	// MaxAge is the age of a reader's copy at which it is followed no longer, and
	// AgePerHop what a relay's may have beyond that: a relay finds another reader
	// first. Defaults 1250 ms, which are Wait, Gather and a slow store's answer, and
	// 250 ms. With MinFollowWait and PeerTimeout they stay below the strictest bound
	// of a change, 2 s.
	MaxAge, AgePerHop time.Duration
	// EjectionTime is how long a node passes over one that did not answer or whose copy was
	// too old. Default 10 s: a host that is cut off stays so for seconds.
	EjectionTime time.Duration
	// UpstreamAttempts is the number of copies that are tried before the store is read
	// directly, once. Default 2.
	UpstreamAttempts int
	// BootstrapTimeout is how long a node that has just started asks others for their copy
	// before it reads the store. Default 1500 ms: all hosts start within 300 ms, and
	// a reader's first list takes about as long.
	BootstrapTimeout time.Duration
	// BootstrapWait and BootstrapRequestTimeout are FollowWait and the time for an answer meanwhile.
	// Defaults 100 ms and 250 ms: a host that has no power yet answers nothing, and the
	// next one is asked.
	BootstrapWait, BootstrapRequestTimeout time.Duration
	// BootstrapRetryDelay is the pause after a node that had nothing. Default 20 ms.
	BootstrapRetryDelay time.Duration
	// BatchDelay is the pause after events before the next watch, so that a burst
	// of changes costs few calls. Default 350 ms; it delays every change, of
	// which the strictest must be in force within 2 s.
	BatchDelay time.Duration
	// StartupBatchDelay is that pause within StartupPeriod of the start. Defaults 1 s and 2 s:
	// when all nodes start, servers register one by one, and each would end a watch.
	StartupBatchDelay, StartupPeriod time.Duration
	// MaxWatchBytes is the size of the events of one watch beyond which lists take
	// the place of watches until nothing new comes. Default 256 KiB, a fifth of a
	// second on a link of 10 Mbit/s.
	MaxWatchBytes int
	// RetryBase and RetryMax bound the pause after a failed call. Defaults
	// 100 ms and 800 ms, so that a store that is back is noticed within a second.
	RetryBase, RetryMax time.Duration
	// PeerQueryInterval is the time between queries of peers while the store does
	// not answer. Default 400 ms.
	PeerQueryInterval time.Duration
	// PeerTimeout bounds one query of a peer beyond its wait. Default 400 ms.
	PeerTimeout time.Duration
	// FollowerRetryMax is the longest pause after a failed call of a node that is to follow
	// another. Default 4 s: readers notice the return of the store for all.
	FollowerRetryMax time.Duration
	// TickInterval is how often suspect servers are looked at. Default 250 ms.
	TickInterval time.Duration
}

const defaultMaxWatchBytes = 256 << 10

const (
	defaultWatchWait               = 600 * time.Millisecond
	defaultFollowWait              = 500 * time.Millisecond
	defaultMinFollowWait           = 100 * time.Millisecond
	defaultMaxAge                  = 1250 * time.Millisecond
	defaultAgePerHop               = 250 * time.Millisecond
	defaultUpstreamAttempts        = 2
	defaultBootstrapTimeout        = 1500 * time.Millisecond
	defaultBootstrapWait           = 100 * time.Millisecond
	defaultBootstrapRequestTimeout = 250 * time.Millisecond
	defaultBootstrapRetryDelay     = 20 * time.Millisecond
	defaultFollowerRetryMax        = 4 * time.Second
	defaultEjectionTime            = 10 * time.Second
	defaultBatchDelay              = 350 * time.Millisecond
	defaultStartupBatchDelay       = time.Second
	defaultStartupPeriod           = 2 * time.Second
	defaultRetryBase               = 100 * time.Millisecond
	defaultRetryMax                = 800 * time.Millisecond
	defaultPeerQueryInterval       = 400 * time.Millisecond
	defaultPeerTimeout             = 400 * time.Millisecond
	defaultTickInterval            = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.MaxWatchBytes <= 0 {
		c.MaxWatchBytes = defaultMaxWatchBytes
	}
	if c.UpstreamAttempts <= 0 {
		c.UpstreamAttempts = defaultUpstreamAttempts
	}
	setDefault(&c.WatchWait, defaultWatchWait)
	setDefault(&c.FollowWait, defaultFollowWait)
	setDefault(&c.MinFollowWait, defaultMinFollowWait)
	setDefault(&c.MaxAge, defaultMaxAge)
	setDefault(&c.AgePerHop, defaultAgePerHop)
	setDefault(&c.BootstrapTimeout, defaultBootstrapTimeout)
	setDefault(&c.BootstrapWait, defaultBootstrapWait)
	setDefault(&c.BootstrapRequestTimeout, defaultBootstrapRequestTimeout)
	setDefault(&c.BootstrapRetryDelay, defaultBootstrapRetryDelay)
	setDefault(&c.FollowerRetryMax, defaultFollowerRetryMax)
	setDefault(&c.EjectionTime, defaultEjectionTime)
	setDefault(&c.BatchDelay, defaultBatchDelay)
	setDefault(&c.StartupBatchDelay, defaultStartupBatchDelay)
	setDefault(&c.StartupPeriod, defaultStartupPeriod)
	setDefault(&c.RetryBase, defaultRetryBase)
	setDefault(&c.RetryMax, defaultRetryMax)
	setDefault(&c.PeerQueryInterval, defaultPeerQueryInterval)
	setDefault(&c.PeerTimeout, defaultPeerTimeout)
	setDefault(&c.TickInterval, defaultTickInterval)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
