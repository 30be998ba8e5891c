package spread

import "time"

// Defaults of Config.
const (
	defaultTickInterval        = 100 * time.Millisecond
	defaultAntiEntropyInterval = time.Second
	defaultFanout              = 4
	defaultBootTimeout         = time.Second
	defaultBootJitter          = 3 * time.Second
	defaultReaders             = 2
	defaultWatchWait           = 3 * time.Second
	defaultStandbyReadAfter    = 5 * time.Second
	defaultStandbyRankDelay    = time.Second
	defaultFullReadInterval    = 10 * time.Second
	defaultExchangeTimeout     = time.Second
	defaultControlRate         = 7000
	defaultControlBurst        = 128 << 10
)

// Config holds the settings of a Machine and its Runner. Zero fields take
// their defaults.
type Config struct {
	// BootPeers are link addresses, IP:port, of hosts that are asked before
	// the source when this node starts. Default none.
	BootPeers []string
	// TickInterval is the period of Machine.Tick. Default 100 ms.
	TickInterval time.Duration
	// AntiEntropyInterval is the period of the exchange with a random peer.
	// Default 1 s.
	AntiEntropyInterval time.Duration
	// Fanout is the number of peers that a new version is pushed to. Default 4.
	Fanout int
	// BootTimeout bounds the wait for the boot peers' answers. Default 1 s.
	BootTimeout time.Duration
	// BootJitter bounds the random wait before the first read of the source
	// when no peer answers; it is twice that when peers answer but hold no
	// version. Default 3 s.
	BootJitter time.Duration
	// Readers is the number of hosts of a data centre that hold a watch.
	// Default 2.
	Readers int
	// WatchWait is the length of one watch. Each end of a watch is a proof that
	// the source answers, so it is shorter than StepUpAfter. Default 3 s.
	WatchWait time.Duration
	// StandbyReadAfter is the age of the freshest known source contact at which
	// other hosts start to read. Default 5 s.
	StandbyReadAfter time.Duration
	// StandbyRankDelay is the further wait for each rank. Default 1 s.
	StandbyRankDelay time.Duration
	// FullReadInterval is the shortest time between two reads of a host that holds
	// no watch. Default 10 s.
	FullReadInterval time.Duration
	// ExchangeTimeout bounds one exchange with a peer. Default 1 s.
	ExchangeTimeout time.Duration
	// ControlRate is the node's budget of control bytes sent, in bytes per
	// second. Default 7,000.
	ControlRate int
	// ControlBurst is the number of control bytes that may go at once.
	// Default 128 KiB.
	ControlBurst int
	// Records takes part in the gossip for the host records. Default none.
	Records Records
}

func (c Config) withDefaults() Config {
	setDefaultDuration(&c.TickInterval, defaultTickInterval)
	setDefaultDuration(&c.AntiEntropyInterval, defaultAntiEntropyInterval)
	setDefaultInt(&c.Fanout, defaultFanout)
	setDefaultDuration(&c.BootTimeout, defaultBootTimeout)
	setDefaultDuration(&c.BootJitter, defaultBootJitter)
	setDefaultInt(&c.Readers, defaultReaders)
	setDefaultDuration(&c.WatchWait, defaultWatchWait)
	setDefaultDuration(&c.StandbyReadAfter, defaultStandbyReadAfter)
	setDefaultDuration(&c.StandbyRankDelay, defaultStandbyRankDelay)
	setDefaultDuration(&c.FullReadInterval, defaultFullReadInterval)
	setDefaultDuration(&c.ExchangeTimeout, defaultExchangeTimeout)
	setDefaultInt(&c.ControlRate, defaultControlRate)
	setDefaultInt(&c.ControlBurst, defaultControlBurst)
	if c.Records == nil {
		c.Records = noRecords{}
	}
	return c
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setDefaultInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
