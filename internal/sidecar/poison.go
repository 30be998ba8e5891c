package sidecar

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// quarantineThreshold is the number of broken runs after which a request is no
	// longer run. The platform permits a few runs after the third crash.
	quarantineThreshold = 3
	// quarantineDuration is how long a crash counts against a request, and how long a
	// convicted one is refused.
	quarantineDuration = 10 * time.Minute
	// maxTrackedRequests bounds the requests that are remembered.
	maxTrackedRequests = 2048
)

// crashRecord counts the runs of a request that the server broke off.
type crashRecord struct {
	crashes   int
	expiresAt time.Time
}

// crashTracker remembers which requests a server broke off, so that one that crashes
// each server that runs it is refused everywhere. A request that runs well is
// no longer suspect. It is safe for concurrent use.
type crashTracker struct {
	// notify tells the other gates of the service; it must not block.
	notify func(fingerprint uint64)

	mu      sync.Mutex
	records *lru.Cache[uint64, crashRecord]
}

func newCrashTracker(notify func(uint64)) (*crashTracker, error) {
	records, err := lru.New[uint64, crashRecord](maxTrackedRequests)
	if err != nil {
		return nil, err
	}
	return &crashTracker{notify: notify, records: records}, nil
}

// quarantined reports whether a request must not run any more.
func (p *crashTracker) quarantined(fingerprint uint64, now time.Time) bool {
	record, ok := p.records.Get(fingerprint)
	return ok && record.crashes >= quarantineThreshold && now.Before(record.expiresAt)
}

// recordSuccess notes that the server answered a request.
func (p *crashTracker) recordSuccess(fingerprint uint64) {
	p.records.Remove(fingerprint)
}

// reportCrash notes that the server broke off a request, and tells the others.
func (p *crashTracker) reportCrash(fingerprint uint64, now time.Time) {
	p.recordCrash(fingerprint, now)
	p.notify(fingerprint)
}

// recordCrash notes what another gate of the service saw.
func (p *crashTracker) recordCrash(fingerprint uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record, _ := p.records.Get(fingerprint)
	if !now.Before(record.expiresAt) {
		record.crashes = 0
	}
	record.crashes++
	record.expiresAt = now.Add(quarantineDuration)
	p.records.Add(fingerprint, record)
}
