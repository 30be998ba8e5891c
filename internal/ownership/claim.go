package ownership

import (
	"time"

	"boragefall/internal/host"
	"boragefall/internal/idempotency"
)

// Claim asks whether a keyed request may run on this host.
type Claim struct {
	// Scoped is idempotency.Scoped of the caller and the key.
	Scoped string
	// Key is the caller's or the entry's key.
	Key idempotency.Key
	// Fences lists the hosts that never run the key.
	Fences []host.ID
	// SenderView is the revision of the entry's host list. It only informs: what
	// permits a run is this host's own view.
	SenderView uint64
	// ResendWindow is that of the route; 0 takes Config.ResendWindow.
	ResendWindow time.Duration
}
