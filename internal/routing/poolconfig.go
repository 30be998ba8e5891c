package routing

const (
	defaultSubsetSize   = 20
	maxSubsetSize       = 64
	defaultSpillPercent = 80
	defaultSenders      = 1
)

// PoolConfig configures the load balancing of a pool.
type PoolConfig struct {
	// SubsetSize is the number of servers of a service that one sender uses.
	// Default 20, at most 64.
	SubsetSize int
	// SpillPercent is the utilisation of the near servers, in percent of their
	// capacity, from which requests spill over to more distant ones. Default 80.
	SpillPercent int
	// Senders is the number of hosts that send to a server. Each of them limits
	// its outstanding requests to a cold server to its share. Default 1.
	Senders int
}

func (c PoolConfig) withDefaults() PoolConfig {
	if c.SubsetSize <= 0 {
		c.SubsetSize = defaultSubsetSize
	}
	c.SubsetSize = min(c.SubsetSize, maxSubsetSize)
	if c.SpillPercent <= 0 {
		c.SpillPercent = defaultSpillPercent
	}
	if c.Senders <= 0 {
		c.Senders = defaultSenders
	}
	return c
}
