package mesh

import (
	"net"
	"time"
)

// ServerID identifies a backend server. A server may keep its ID across restarts.
type ServerID string

// ServerState is the state that a server reports in its registration.
type ServerState uint8

// States of a server.
const (
	ServerReady ServerState = iota
	ServerDraining
)

// Server is the registration record of a backend server.
type Server struct {
	// ID identifies the server.
	ID ServerID
	// Service is the name of the server's service.
	Service string
	// Address is the listen address, IP:port. Only processes on the same host can
	// connect to it.
	Address string
	// DataCentre is the data centre of the server's host.
	DataCentre string
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// State is ready or draining.
	State ServerState
	// ColdFor is the warm-up time that remained when the server registered.
	ColdFor time.Duration
	// StartUnixMillis is the start time of the server process in Unix milliseconds; 0
	// when unknown. It distinguishes incarnations with the same ID.
	StartUnixMillis int64
}

// IP returns the IP address of the server's host, or "" when Address is invalid. The
// node of the host has the same IP address.
func (s *Server) IP() string {
	ip, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return ""
	}
	return ip
}

// SameIncarnation reports whether two records describe the same server process.
func (s *Server) SameIncarnation(o *Server) bool {
	return s.ID == o.ID && s.StartUnixMillis == o.StartUnixMillis && s.Address == o.Address
}
