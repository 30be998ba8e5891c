package gate

import (
	"time"

	"boragefall/internal/config"
)

// Request is what the gate knows of a request that asks for a slot.
type Request struct {
	// Caller names the partner or service whose share pays for the request.
	Caller string
	// Weight is the caller's share under contention; below 1 counts as 1.
	Weight int
	// Priority orders waiting requests; empty counts as normal.
	Priority config.Priority
	// Deadline is when the answer is of no more use; zero states none.
	Deadline time.Time
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Fingerprint recognises the request when it is sent again; 0 states none.
	Fingerprint uint64
	// Class names requests of like cost, as a rule the route; latency is
	// compared within a class. Empty is a class of its own.
	Class string
	// ReportedCrashes is the number of servers that crashed while an earlier attempt
	// ran, as far as the sender knows. It spares the next server the wait for
	// gossip. Default 0.
	ReportedCrashes int
}

// rank is the place of a priority in the queue; 0 goes first.
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
