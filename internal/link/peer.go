package link

import (
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Identity is what a node says of itself when a link is made.
type Identity struct {
	Host       host.ID
	BootMillis int64
	Validation uint32
}

func (i Identity) hello() *wire.Hello {
	return &wire.Hello{
		Protocol:   ProtocolVersion,
		Host:       string(i.Host),
		BootMillis: i.BootMillis,
		Validation: i.Validation,
	}
}
