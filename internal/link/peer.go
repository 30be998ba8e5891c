package link

import (
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Identity describes a node in the Hello message that is exchanged on a new link.
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
		RawText:    true,
	}
}
