package host

import "boragefall/internal/datacentre"

// State is what a node says of the backend server beside it.
type State uint8

// States of a backend server.
const (
	StateUnknown State = iota
	StateCold          // bears only the cold-start limit
	StateWarm          // bears its full load
	StateLeaving       // receives no new work
	StateDown          // does not answer
)

var stateTexts = [...]string{"unknown", "cold", "warm", "leaving", "down"}

// String returns the state as it stands in status pages.
func (s State) String() string {
	if int(s) >= len(stateTexts) {
		return stateTexts[StateUnknown]
	}
	return stateTexts[s]
}

// Record is what a host says of itself. Records spread by gossip; of two
// records of a host, the one with the later (Boot, Sequence) wins.
type Record struct {
	// ID names the host.
	ID ID
	// BootMillis is the start time of the node's process, in Unix milliseconds.
	BootMillis int64
	// Sequence counts the changes since Boot.
	Sequence uint64
	// Address is the node's link address, IP:port.
	Address string
	// Place is where the host stands.
	Place datacentre.Place
	// Service is the service of the backend server beside the node.
	Service string
	// State is the state of that backend server.
	State State
	// Capacity is the number of requests that the server bears at once now.
	Capacity uint32
	// Quarantine holds fingerprints of requests that crashed the server.
	Quarantine []uint64
}

// NewerThan reports whether the record replaces another one of the same host.
func (r Record) NewerThan(other Record) bool {
	if r.BootMillis != other.BootMillis {
		return r.BootMillis > other.BootMillis
	}
	return r.Sequence > other.Sequence
}
