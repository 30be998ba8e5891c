package host

import "boragefall/internal/datacentre"

// State is the state of a backend server as reported by the node on its host.
type State uint8

// States of a backend server.
const (
	StateUnknown State = iota
	StateCold          // accepts requests up to the cold-start limit
	StateWarm          // accepts requests up to its full capacity
	StateLeaving       // is being drained; must get no new requests
	StateDown          // does not respond
)

var stateTexts = [...]string{"unknown", "cold", "warm", "leaving", "down"}

// String returns the state's name on status pages.
func (s State) String() string {
	if int(s) >= len(stateTexts) {
		return stateTexts[StateUnknown]
	}
	return stateTexts[s]
}

// Record is the state that a host publishes about itself by gossip. Of two records of a
// host, the one with the greater (BootMillis, Sequence) replaces the other.
type Record struct {
	// ID identifies the host.
	ID ID
	// BootMillis is the start time of the node's process in Unix milliseconds.
	BootMillis int64
	// Sequence counts the changes to the record since BootMillis.
	Sequence uint64
	// Address is the IP:port on which the host's node accepts links from other nodes.
	Address string
	// Place is the host's region and data centre.
	Place datacentre.Place
	// Service is the service whose backend server runs on the host.
	Service string
	// State is the state of the backend server.
	State State
	// Capacity is the server's current concurrency limit.
	Capacity uint32
	// Quarantine holds the fingerprints of requests that crashed the server.
	Quarantine []uint64
}

// NewerThan reports whether r replaces another record of the same host.
func (r Record) NewerThan(other Record) bool {
	if r.BootMillis != other.BootMillis {
		return r.BootMillis > other.BootMillis
	}
	return r.Sequence > other.Sequence
}
