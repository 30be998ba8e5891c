package routing

const (
	defaultSubsetSize   = 20
	maxSubsetSize       = 64
	defaultSpillPercent = 80
	defaultSenders      = 1
)

// PoolConfig tunes the choice of a backend server.
type PoolConfig struct {
	// SubsetSize is the number of servers of a service that one sender uses.
	// Default 20, at most 32.
	SubsetSize int
	// SpillPercent is the utilisation of the near servers, in percent of their
	// capacity, from which requests go further away. Default 80.
	SpillPercent int
	// Senders is the number of hosts that send to a server; each keeps its
	// outstanding requests to a cold server within its share. Default 1.
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
