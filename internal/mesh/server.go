package mesh

import (
	"net"
	"time"
)

// ServerID names a backend server. A restarted server may have the same one.
type ServerID string

// ServerState is what a server says of itself.
type ServerState uint8

// States of a server.
const (
	ServerReady ServerState = iota
	ServerDraining
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID names the server.
	ID ServerID
	// Service is the service that it belongs to.
	Service string
	// Address is where it takes requests, IP:port. Only processes on the same
	// host reach it.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// State is ready or draining.
	State ServerState
	// ColdFor is how long the server stayed cold from when it registered this.
	ColdFor time.Duration
	// StartUnixMillis is the server's start in Unix milliseconds, 0 when it does not tell.
	// It tells incarnations with the same ID apart.
	StartUnixMillis int64
}

// IP returns the address of the server's host, which its node shares.
func (s *Server) IP() string {
	ip, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return ""
	}
	return ip
}

// SameIncarnation reports whether two records speak of the same process.
func (s *Server) SameIncarnation(o *Server) bool {
	return s.ID == o.ID && s.StartUnixMillis == o.StartUnixMillis && s.Address == o.Address
}
