package ownership

import (
	"time"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

// Claim asks whether a keyed request may run on this host.
type Claim struct {
	// ScopedKey is idempotency.ScopedKey of the caller and the key.
	ScopedKey string
	// Key is the caller's or the entry's key.
	Key idempotency.Key
	// FencedHosts lists the hosts that never run the key.
	FencedHosts []host.ID
	// SenderRevision is the revision of the entry's host list. It only informs: what
	// permits a run is this host's own view.
	SenderRevision uint64
	// ResendWindow is that of the route; 0 takes Config.ResendWindow.
	ResendWindow time.Duration
}
