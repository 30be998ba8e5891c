package feed

import "time"

// Config tunes a Feed. Zero fields take their defaults.
type Config struct {
	// Wait is how long a watch waits for an event. Default 600 ms: the end of a
	// watch shows followers that the store still answers the reader, and that
	// the watch did not go deaf when the store forgot its history.
	Wait time.Duration
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
	// AvoidFor is how long a node passes over one that did not answer or whose copy was
	// too old. Default 10 s: a host that is cut off stays so for seconds.
	AvoidFor time.Duration
	// Upstreams is the number of copies that are tried before the store is read
	// directly, once. Default 2.
	Upstreams int
	// SeekFor is how long a node that has just started asks others for their copy
	// before it reads the store. Default 1500 ms: all hosts start within 300 ms, and
	// a reader's first list takes about as long.
	SeekFor time.Duration
	// SeekWait and SeekTimeout are FollowWait and the time for an answer meanwhile.
	// Defaults 100 ms and 250 ms: a host that has no power yet answers nothing, and the
	// next one is asked.
	SeekWait, SeekTimeout time.Duration
	// SeekPause is the pause after a node that had nothing. Default 20 ms.
	SeekPause time.Duration
	// Gather is the pause after events before the next watch, so that a burst
	// of changes costs few calls. Default 350 ms; it delays every change, of
	// which the strictest must be in force within 2 s.
	Gather time.Duration
	// StartGather is that pause within StartFor of the start. Defaults 1 s and 2 s:
	// when all nodes start, servers register one by one, and each would end a watch.
	StartGather, StartFor time.Duration
	// CrowdedBytes is the size of the events of one watch beyond which lists take
	// the place of watches until nothing new comes. Default 256 KiB, a fifth of a
	// second on a link of 10 Mbit/s.
	CrowdedBytes int
	// RetryBase and RetryMax bound the pause after a failed call. Defaults
	// 100 ms and 800 ms, so that a store that is back is noticed within a second.
	RetryBase, RetryMax time.Duration
	// PeerInterval is the time between queries of peers while the store does
	// not answer. Default 400 ms.
	PeerInterval time.Duration
	// PeerTimeout bounds one query of a peer beyond its wait. Default 400 ms.
	PeerTimeout time.Duration
	// DirectRetry is the longest pause after a failed call of a node that is to follow
	// another. Default 4 s: readers notice the return of the store for all.
	DirectRetry time.Duration
	// TickInterval is how often suspect servers are looked at. Default 250 ms.
	TickInterval time.Duration
}

const defaultCrowdedBytes = 256 << 10

const (
	defaultWait         = 600 * time.Millisecond
	defaultFollowWait   = 500 * time.Millisecond
	defaultMinFollow    = 100 * time.Millisecond
	defaultMaxAge       = 1250 * time.Millisecond
	defaultAgePerHop    = 250 * time.Millisecond
	defaultUpstreams    = 2
	defaultSeekFor      = 1500 * time.Millisecond
	defaultSeekWait     = 100 * time.Millisecond
	defaultSeekTimeout  = 250 * time.Millisecond
	defaultSeekPause    = 20 * time.Millisecond
	defaultDirectRetry  = 4 * time.Second
	defaultAvoidFor     = 10 * time.Second
	defaultGather       = 350 * time.Millisecond
	defaultStartGather  = time.Second
	defaultStartFor     = 2 * time.Second
	defaultRetryBase    = 100 * time.Millisecond
	defaultRetryMax     = 800 * time.Millisecond
	defaultPeerInterval = 400 * time.Millisecond
	defaultPeerTimeout  = 400 * time.Millisecond
	defaultTickInterval = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.CrowdedBytes <= 0 {
		c.CrowdedBytes = defaultCrowdedBytes
	}
	if c.Upstreams <= 0 {
		c.Upstreams = defaultUpstreams
	}
	fill(&c.Wait, defaultWait)
	fill(&c.FollowWait, defaultFollowWait)
	fill(&c.MinFollowWait, defaultMinFollow)
	fill(&c.MaxAge, defaultMaxAge)
	fill(&c.AgePerHop, defaultAgePerHop)
	fill(&c.SeekFor, defaultSeekFor)
	fill(&c.SeekWait, defaultSeekWait)
	fill(&c.SeekTimeout, defaultSeekTimeout)
	fill(&c.SeekPause, defaultSeekPause)
	fill(&c.DirectRetry, defaultDirectRetry)
	fill(&c.AvoidFor, defaultAvoidFor)
	fill(&c.Gather, defaultGather)
	fill(&c.StartGather, defaultStartGather)
	fill(&c.StartFor, defaultStartFor)
	fill(&c.RetryBase, defaultRetryBase)
	fill(&c.RetryMax, defaultRetryMax)
	fill(&c.PeerInterval, defaultPeerInterval)
	fill(&c.PeerTimeout, defaultPeerTimeout)
	fill(&c.TickInterval, defaultTickInterval)
	return c
}

func fill(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
