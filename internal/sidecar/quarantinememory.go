package sidecar

import (
	"sync"
	"time"
)

const (
	// quarantineMemoryTime is how long an entry refuses a request that a gate refused as
	// quarantined, before it asks a gate again. Another gate may not know of it yet.
	quarantineMemoryTime = 10 * time.Second
	// maxRememberedQuarantined bounds the requests that an entry remembers.
	maxRememberedQuarantined = 256
)

// quarantineMemory holds the requests that gates refused as quarantined. The zero value is
// empty. It is safe for concurrent use.
type quarantineMemory struct {
	mu    sync.Mutex
	until map[uint64]time.Time
}

func (m *quarantineMemory) contains(fingerprint uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.until[fingerprint])
}

// add records a refusal. When too many are recorded, all are forgotten: a gate is then asked
// once more for each.
func (m *quarantineMemory) add(fingerprint uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.until == nil || len(m.until) >= maxRememberedQuarantined {
		m.until = map[uint64]time.Time{}
	}
	m.until[fingerprint] = now.Add(quarantineMemoryTime)
}
