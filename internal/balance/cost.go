package balance

import (
	"time"

	"boragefall/internal/catalog"
)

// costPart identifies a part of a server's cost.
type costPart int

// Parts of a server's cost. The total is their sum.
const (
	partCrowding costPart = iota
	partWork
	partQueue
	partRateLimit
	partBody
	partAnswer
	partNetwork
	partLate
	partFailures
	partSilence
	partVariation
	partDataCentre
	partSuspect
	partEjected
	partUnusable
	partColdRate
	costPartCount
)

// costPartNames are the names that operators see.
var costPartNames = [costPartCount]string{
	partCrowding: "crowding", partWork: "work", partQueue: "queue", partRateLimit: "rate limit", partBody: "body",
	partAnswer: "answer", partNetwork: "network", partLate: "late", partFailures: "failures", partSilence: "silence",
	partVariation: "variation", partDataCentre: "data centre", partSuspect: "suspect", partEjected: "ejected",
	partUnusable: "leaving or down", partColdRate: "cold rate",
}

// cost is the cost of a server in seconds.
type cost struct {
	total float64
	parts [costPartCount]float64
}

func (c *cost) add(part costPart, seconds float64) {
	c.parts[part] += seconds
	c.total += seconds
}

// waits holds for how long a gate is not asked, by cause; 0 means that it may be asked now.
type waits struct {
	closed, full, link time.Duration
}

func (w waits) longest() time.Duration {
	return max(w.closed, w.full, w.link, 0)
}

// assessment is the result of weighing one server for a request. cost is set only if the
// server may be asked now.
type assessment struct {
	waits waits
	cost  cost
}

// selection chooses among the servers that it considers.
type selection struct {
	dataCentre string
	// localLimit is the cost below which a server of the own data centre is preferred.
	localLimit          float64
	best, bestLocal     *catalog.Listing
	bestCost, localCost float64
	// retryIn is the shortest wait of a server that can't be asked now.
	retryIn time.Duration
}

func (b *Balancer) newSelection(r Request) selection {
	limit := localThreshold * r.Objective.Seconds()
	return selection{dataCentre: b.dataCentre, localLimit: limit, localCost: limit}
}

func (c *selection) consider(l *catalog.Listing, a *assessment) {
	if wait := a.waits.longest(); wait > 0 {
		if c.retryIn == 0 || wait < c.retryIn {
			c.retryIn = wait
		}
		return
	}
	if c.best == nil || a.cost.total < c.bestCost {
		c.best, c.bestCost = l, a.cost.total
	}
	if c.prefers(l, a) && a.cost.total < c.localCost {
		c.bestLocal, c.localCost = l, a.cost.total
	}
}

// prefers reports whether a server of the own data centre is good enough to be chosen
// before any other.
func (c *selection) prefers(l *catalog.Listing, a *assessment) bool {
	return l.DataCentre == c.dataCentre && a.cost.total < c.localLimit
}

// result returns the choice, or nil and the time after which a gate may have capacity.
func (c *selection) result() (*catalog.Listing, time.Duration) {
	best, bestCost := c.best, c.bestCost
	if c.bestLocal != nil {
		best, bestCost = c.bestLocal, c.localCost
	}
	if best == nil || c.retryIn > 0 && bestCost >= unavailableCost {
		return nil, c.retryIn
	}
	return best, 0
}
