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
	// SetSince is the first host list revision from which all of the sender's lists, up to
	// ViewRevision, had that set; 0 is unknown.
	SetSince uint64
	// Floor is a host list revision: no gate decides by an older list any more. 0 is
	// unknown.
	Floor uint64
	// HasFloor reports that the sender has a floor, so that its answers count towards a
	// quorum.
	HasFloor bool
}
