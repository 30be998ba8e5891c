package spread

import (
	"time"

	"boragefall/internal/config"
)

// Counters holds event counts of a machine since its start.
type Counters struct {
	Applied        uint64 // versions applied
	Rejected       uint64 // versions that failed validation
	StaleReads     uint64 // reads that returned a version older than the floor
	Conflicts      uint64 // announcements or reads of the current version with another hash
	LateAnswers    uint64 // late or duplicate pull answers
	BadPieces      uint64 // manifests or files that did not match their hash
	PullsFailed    uint64
	PullsRefused   uint64
	PeerFailures   uint64
	Reads          uint64 // reads and watches of the source
	Cycles         uint64 // full reads by a host that does not watch
	SourceFailures uint64
	// SourceOverLimit counts the failures caused by the rate limit of the source.
	SourceOverLimit uint64
	Pauses          uint64
	// BytesSent and Deferred count sent control bytes and denied messages by Class.
	BytesSent, Deferred [classCount]uint64
}

// Status is a node's view of its documents and of the source.
type Status struct {
	Config, HostList           config.Version
	ConfigHash, HostListHash   config.Hash
	ConfigFloor, HostListFloor config.Version
	Role                       string
	Rank                       int
	// SourceAge is the time since the last known successful contact of any node with
	// the source, or since the start of this process when there was none.
	SourceAge       time.Duration
	SourceContacted bool
	Rejected        []Rejection
	Counters        Counters
}

// Status returns the current status.
func (m *Machine) Status(now time.Time) Status {
	role, rank := m.role(now)
	s := Status{
		ConfigFloor:     m.documents[0].floor,
		HostListFloor:   m.documents[1].floor,
		Role:            role.String(),
		Rank:            rank,
		SourceAge:       m.source.age(now),
		SourceContacted: m.source.contacted,
		Counters:        m.counters,
	}
	s.Counters.BytesSent = m.budget.Sent
	s.Counters.Deferred = m.budget.Deferred
	if b := m.documents[0].current; b != nil {
		s.Config, s.ConfigHash = b.Version, b.Hash
	}
	if b := m.documents[1].current; b != nil {
		s.HostList, s.HostListHash = b.Version, b.Hash
	}
	for _, d := range m.documents {
		s.Rejected = append(s.Rejected, d.rejected...)
	}
	return s
}
