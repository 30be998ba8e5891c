package ownership

import (
	"time"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

// Claim describes a keyed request that asks to run on this host.
type Claim struct {
	// ScopedKey is idempotency.ScopedKey of the caller and the key.
	ScopedKey string
	// Key is the key that the caller sent or the entry generated.
	Key idempotency.Key
	// FencedHosts lists the hosts that fenced the key and so will never run it.
	FencedHosts []host.ID
	// SenderRevision is the revision of the entry's host list. It is informational:
	// only this host's own view permits a run.
	SenderRevision uint64
	// ResendWindow is the resend window of the route; 0 means Config.ResendWindow.
	ResendWindow time.Duration
}
