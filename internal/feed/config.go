package feed

import (
	"time"

	"boragefall/internal/bootclock"
)

// Config holds the settings of a Feed. Zero fields take their defaults.
type Config struct {
	// WatchWait is how long a watch waits for an event. Default 600 ms: each completed
	// watch renews the age of the copy that followers see. It also bounds the lifetime
	// of a watch that silently stopped receiving events because the store compacted
	// its history.
	WatchWait time.Duration
	// FollowWait is how long an upstream waits for a newer revision before it responds.
	// The wait shrinks to MinFollowWait as the follower's own copy approaches its
	// maximum age. Defaults 500 ms and 100 ms.
	FollowWait, MinFollowWait time.Duration
	// MaxAge is the maximum age of a reader's copy; an older copy is not followed.
	// AgePerHop is added for a relay's copy, so that a relay switches to another reader
	// before its followers leave it. Default of MaxAge 1250 ms: the sum of WatchWait,
	// BatchDelay and the response time of a slow store. Default of AgePerHop 250 ms.
	// Together with MinFollowWait and PeerTimeout they stay below 2 s, the strictest
	// propagation bound of a change.
	MaxAge, AgePerHop time.Duration
	// EjectionTime is how long a node avoids an upstream that did not respond or whose
	// copy was too old. Default 10 s: a network partition lasts for seconds.
	EjectionTime time.Duration
	// UpstreamAttempts is the number of consecutive upstream failures after which a
	// follower reads the store directly, once. Default 2.
	UpstreamAttempts int
	// BootstrapTimeout is how long a starting node requests a copy from other nodes
	// before it reads the store. Default 1500 ms: all hosts start within 300 ms, and
	// a reader's first list takes about as long.
	BootstrapTimeout time.Duration
	// BootstrapWait replaces FollowWait, and BootstrapRequestTimeout is the request
	// timeout, until the node has a complete copy. Defaults 100 ms and 250 ms: a host
	// that is still powered off does not respond, and the node tries the next one.
	BootstrapWait, BootstrapRequestTimeout time.Duration
	// BootstrapRetryDelay is the delay after a node that could not supply a copy.
	// Default 20 ms.
	BootstrapRetryDelay time.Duration
	// BatchDelay is the delay between a watch that returned events and the next watch,
	// so that a burst of changes takes few store calls. Default 350 ms: it adds to the
	// propagation time of every change, whose strictest bound is 2 s.
	BatchDelay time.Duration
	// StartupBatchDelay replaces BatchDelay during StartupPeriod after the start.
	// Defaults 1 s and 2 s: when all nodes start, servers register one by one, and each
	// registration would end a watch.
	StartupBatchDelay, StartupPeriod time.Duration
	// MaxWatchBytes is the size of the events of one watch above which the feed lists
	// instead of watching, until a list returns nothing new. Default 256 KiB, the
	// transfer of which takes a fifth of a second on a 10 Mbit/s link.
	MaxWatchBytes int
	// RetryBase and RetryMax are the initial and the maximum backoff after failed store
	// calls. Defaults 100 ms and 800 ms, so that the recovery of the store is detected
	// within a second.
	RetryBase, RetryMax time.Duration
	// PeerQueryInterval is the time between queries of peers while the store is
	// unavailable. Default 400 ms.
	PeerQueryInterval time.Duration
	// PeerTimeout is the timeout of a request to a peer, in addition to the wait that
	// the request asks for. Default 400 ms.
	PeerTimeout time.Duration
	// FollowerRetryMax is the maximum backoff of a follower after a failed store call.
	// Default 4 s: the readers detect the recovery of the store on behalf of all nodes.
	FollowerRetryMax time.Duration
	// TickInterval is the interval at which expired suspect servers are removed.
	// Default 250 ms.
	TickInterval time.Duration
	// Clock is the clock of ProvenAge. It has to count the time in which the host was
	// suspended. Default: the time since the host was started.
	Clock func() time.Duration
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
	if c.Clock == nil {
		c.Clock = bootclock.Now
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
