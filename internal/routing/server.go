package routing

import (
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// Server is a backend server as described by the host list and host records.
type Server struct {
	// Host is the host that the server runs on.
	Host host.ID
	// Address is the link address of the node on the same host, IP:port.
	Address string
	// Place is the region and data centre of the host.
	Place datacentre.Place
	// State is the state in the host's record.
	State host.State
	// Capacity is the concurrency limit in the host's record; for a cold server
	// it is the cold-start limit.
	Capacity int
	// Leaving reports that the host or its data centre is marked as leaving, or
	// that the host list says so.
	Leaving bool
	// Suspect reports that the host may have failed.
	Suspect bool
	// Stats holds what this sender observed of the host. Directory.Update sets it.
	Stats *Stats
}

// usable reports whether the server may get new requests by the views alone.
func (s *Server) usable() bool {
	return !s.Leaving && s.State != host.StateLeaving && s.State != host.StateDown
}
