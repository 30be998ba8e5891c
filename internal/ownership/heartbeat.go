package ownership

import "boragefall/internal/host"

// Heartbeat is what a host says to the other hosts of its service, both when it
// asks and when it answers.
type Heartbeat struct {
	// Host is the sender.
	Host host.ID
	// Boot is the start of the sender's process, in Unix milliseconds.
	Boot int64
	// ViewRevision is the revision of the sender's host list.
	ViewRevision uint64
	// ViewHash identifies the set of the service's hosts in that list.
	ViewHash uint64
	// ViewFirst is the first revision since which the sender has held that set
	// without another between; 0 is unknown.
	ViewFirst uint64
	// Floor is a revision such that no gate works under an older one any more;
	// 0 is unknown.
	Floor uint64
	// Settled reports that the sender's answers count in majorities.
	Settled bool
}
