package spread

import "time"

// Defaults of Config.
const (
	defaultTickEvery        = 100 * time.Millisecond
	defaultAntiEntropyEvery = time.Second
	defaultFanout           = 4
	defaultBootWait         = time.Second
	defaultBootJitter       = 3 * time.Second
	defaultReaders          = 2
	defaultWatchWait        = 3 * time.Second
	defaultStepUpAfter      = 5 * time.Second
	defaultStepUpRank       = time.Second
	defaultCycleEvery       = 10 * time.Second
	defaultExchangeTimeout  = time.Second
	defaultControlRate      = 7000
	defaultControlBurst     = 128 << 10
)

// Config holds the settings of a Machine and its Runner. Zero fields take
// their defaults.
type Config struct {
	// BootPeers are link addresses, IP:port, of hosts that are asked before
	// the source when this node starts. Default none.
	BootPeers []string
	// TickEvery is the period of Machine.Tick. Default 100 ms.
	TickEvery time.Duration
	// AntiEntropyEvery is the period of the exchange with a random peer.
	// Default 1 s.
	AntiEntropyEvery time.Duration
	// Fanout is the number of peers that a new version is pushed to. Default 4.
	Fanout int
	// BootWait bounds the wait for the boot peers' answers. Default 1 s.
	BootWait time.Duration
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
	// StepUpAfter is the age of the freshest known source contact at which
	// other hosts start to read. Default 5 s.
	StepUpAfter time.Duration
	// StepUpRank is the further wait for each rank. Default 1 s.
	StepUpRank time.Duration
	// CycleEvery is the shortest time between two reads of a host that holds
	// no watch. Default 10 s.
	CycleEvery time.Duration
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
	setDuration(&c.TickEvery, defaultTickEvery)
	setDuration(&c.AntiEntropyEvery, defaultAntiEntropyEvery)
	setInt(&c.Fanout, defaultFanout)
	setDuration(&c.BootWait, defaultBootWait)
	setDuration(&c.BootJitter, defaultBootJitter)
	setInt(&c.Readers, defaultReaders)
	setDuration(&c.WatchWait, defaultWatchWait)
	setDuration(&c.StepUpAfter, defaultStepUpAfter)
	setDuration(&c.StepUpRank, defaultStepUpRank)
	setDuration(&c.CycleEvery, defaultCycleEvery)
	setDuration(&c.ExchangeTimeout, defaultExchangeTimeout)
	setInt(&c.ControlRate, defaultControlRate)
	setInt(&c.ControlBurst, defaultControlBurst)
	if c.Records == nil {
		c.Records = noRecords{}
	}
	return c
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
