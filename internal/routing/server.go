package routing

import (
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// Server is a backend server as the views tell it.
type Server struct {
	// Host names the host of the server.
	Host host.ID
	// Address is the link address of the node beside it, IP:port.
	Address string
	// Place is where the host stands.
	Place datacentre.Place
	// State is the state by the host's record.
	State host.State
	// Capacity is the number of requests that the server bears at once by the
	// host's record; of a cold server the cold-start limit.
	Capacity int
	// Leaving reports a mark of the host, its data centre or the host list.
	Leaving bool
	// Suspect reports that the host may be dead.
	Suspect bool
	// Stats is the sender's own knowledge. Directory fills it when it is nil.
	Stats *Stats
}

// usable reports whether the views permit new work at all.
func (s *Server) usable() bool {
	return !s.Leaving && s.State != host.StateLeaving && s.State != host.StateDown
}
