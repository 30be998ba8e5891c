package gate

import (
	"time"

	"boragefall/internal/config"
)

// Request describes a request that needs a slot.
type Request struct {
	// Caller is the partner or service whose share the request is charged to.
	Caller string
	// Weight is the caller's share under contention; below 1 counts as 1.
	Weight int
	// Priority orders waiting requests; empty counts as normal.
	Priority config.Priority
	// Deadline is the time after which the answer is useless; zero if there is none.
	Deadline time.Time
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Fingerprint identifies the request when it is sent again; 0 if it has none.
	Fingerprint uint64
	// Class groups requests of similar cost, usually by route; latency is compared within
	// a class. Empty is a class of its own.
	Class string
	// ReportedCrashes is the number of servers that crashed while an earlier attempt ran,
	// as far as the sender knows. With it, the next server need not wait for gossip.
	// Default 0.
	ReportedCrashes int
}

// rank is the position of a priority in the queue; 0 goes first.
type rank int

const (
	rankHigh rank = iota
	rankNormal
	rankLow
	numRanks
)

func rankOf(p config.Priority) rank {
	switch p {
	case config.PriorityHigh:
		return rankHigh
	case config.PriorityLow:
		return rankLow
	default:
		return rankNormal
	}
}
