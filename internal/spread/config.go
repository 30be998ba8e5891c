package spread

import "time"

// Default values of Config.
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
	// BootPeers holds the link addresses, IP:port, of hosts that this node queries
	// before the source when it starts. Default none.
	BootPeers []string
	// TickInterval is the period of Machine.Tick. Default 100 ms.
	TickInterval time.Duration
	// AntiEntropyInterval is the period of the anti-entropy exchange with a random
	// peer. Default 1 s.
	AntiEntropyInterval time.Duration
	// Fanout is the number of peers that a new version is pushed to. Default 4.
	Fanout int
	// BootTimeout limits the wait for the responses of the boot peers. Default 1 s.
	BootTimeout time.Duration
	// BootJitter is the maximum random delay of the first read of the source when no
	// peer responds. The maximum doubles when peers respond but hold no version.
	// Default 3 s.
	BootJitter time.Duration
	// Readers is the number of hosts of a data centre that watch the source.
	// Default 2.
	Readers int
	// WatchWait is the duration of one watch. It must be shorter than
	// StandbyReadAfter, because only a completed watch shows that the source responds.
	// Default 3 s.
	WatchWait time.Duration
	// StandbyReadAfter is the age of the latest known source contact after which
	// standby hosts start to read. Default 5 s.
	StandbyReadAfter time.Duration
	// StandbyRankDelay is added to StandbyReadAfter once per rank of a standby host (the
	// number of hosts of its data centre that rank before it and are not suspect), so that
	// standby hosts start to read one after the other. Default 1 s.
	StandbyRankDelay time.Duration
	// FullReadInterval is the minimum time between two full reads of the source by a
	// host that does not watch it. Default 10 s.
	FullReadInterval time.Duration
	// ExchangeTimeout is the timeout of one exchange with a peer. Default 1 s.
	ExchangeTimeout time.Duration
	// ControlBytesPerSecond is the rate limit of sent control traffic.
	// Default 7,000.
	ControlBytesPerSecond int
	// ControlBurstBytes is the maximum burst of control traffic. Default 128 KiB.
	ControlBurstBytes int
	// Records adds host records to the gossip. Default none.
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
	setDefaultInt(&c.ControlBytesPerSecond, defaultControlRate)
	setDefaultInt(&c.ControlBurstBytes, defaultControlBurst)
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
