package sidecar

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// crashesToConvict is the number of broken runs after which a request is no
	// longer run. The platform permits a few runs after the third crash.
	crashesToConvict = 3
	// suspectFor is how long a crash counts against a request, and how long a
	// convicted one is refused.
	suspectFor = 10 * time.Minute
	// rememberedSuspects bounds the requests that are remembered.
	rememberedSuspects = 2048
)

// suspicion counts the runs of a request that the server broke off.
type suspicion struct {
	crashes int
	until   time.Time
}

// poison remembers which requests a server broke off, so that one that crashes
// each server that runs it is refused everywhere. A request that runs well is
// no longer suspect. It is safe for concurrent use.
type poison struct {
	// notify tells the other gates of the service; it must not block.
	notify func(fingerprint uint64)

	mu       sync.Mutex
	suspects *lru.Cache[uint64, suspicion]
}

func newPoison(notify func(uint64)) (*poison, error) {
	suspects, err := lru.New[uint64, suspicion](rememberedSuspects)
	if err != nil {
		return nil, err
	}
	return &poison{notify: notify, suspects: suspects}, nil
}

// convicted reports whether a request must not run any more.
func (p *poison) convicted(fingerprint uint64, now time.Time) bool {
	s, ok := p.suspects.Get(fingerprint)
	return ok && s.crashes >= crashesToConvict && now.Before(s.until)
}

// ranWell notes that the server answered a request.
func (p *poison) ranWell(fingerprint uint64) {
	p.suspects.Remove(fingerprint)
}

// brokeOff notes that the server broke off a request, and tells the others.
func (p *poison) brokeOff(fingerprint uint64, now time.Time) {
	p.heard(fingerprint, now)
	p.notify(fingerprint)
}

// heard notes what another gate of the service saw.
func (p *poison) heard(fingerprint uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, _ := p.suspects.Get(fingerprint)
	if !now.Before(s.until) {
		s.crashes = 0
	}
	s.crashes++
	s.until = now.Add(suspectFor)
	p.suspects.Add(fingerprint, s)
}
