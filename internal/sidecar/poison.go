package sidecar

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// quarantineThreshold is the number of crashes after which a request is no longer
	// run. The platform permits a few runs after the third crash.
	quarantineThreshold = 3
	// quarantineDuration is how long a crash counts against a request, and how long a
	// quarantined request is refused.
	quarantineDuration = 10 * time.Minute
	// maxTrackedRequests bounds the requests whose crashes are tracked.
	maxTrackedRequests = 2048
)

// crashRecord counts the crashes of a request: its runs that a server broke off without
// an answer.
type crashRecord struct {
	crashes   int
	expiresAt time.Time
}

// crashTracker tracks the requests during which a server crashed, so that a request
// that crashes every server is refused on all nodes. A successful run resets its count.
// It is safe for concurrent use.
type crashTracker struct {
	// notify notifies the other gates of the service; it must not block.
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

// quarantined reports whether a request must no longer be run.
func (p *crashTracker) quarantined(fingerprint uint64, now time.Time) bool {
	record, ok := p.records.Get(fingerprint)
	return ok && record.crashes >= quarantineThreshold && now.Before(record.expiresAt)
}

// recordSuccess records that the server answered a request.
func (p *crashTracker) recordSuccess(fingerprint uint64) {
	p.records.Remove(fingerprint)
}

// reportCrash records a crash of this node's server and notifies the other gates.
func (p *crashTracker) reportCrash(fingerprint uint64, now time.Time) {
	p.recordCrash(fingerprint, now)
	p.notify(fingerprint)
}

// recordCrash records a crash, of this node's server or reported by another gate of the
// service.
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
