package ownership

import "boragefall/internal/host"

// Heartbeat is the message that the hosts of a service exchange, as request and as
// answer.
type Heartbeat struct {
	// Host is the sender.
	Host host.ID
	// Boot is the start time of the sender's process, in Unix milliseconds.
	Boot int64
	// ViewRevision is the revision of the sender's host list.
	ViewRevision uint64
	// ViewHash identifies the set of the service's hosts in that list.
	ViewHash uint64
	// SetSince is the revision since which the sender has held that set without
	// another in between; 0 is unknown.
	SetSince uint64
	// Floor is a revision such that no gate works under an older one; 0 is unknown.
	Floor uint64
	// HasFloor reports that the sender has a floor, so that its answers count towards a
	// quorum.
	HasFloor bool
}
