package listen

import (
	"sync"
	"time"
)

// Places bounds the links of a listener or their streams. It is safe for concurrent use.
type Places struct {
	mu    sync.Mutex
	table table
	// closed counts one that was closed or refused.
	closed func()
}

// NewPlaces returns places for at most limit; 0 sets no limit. closed is called for each one
// that is closed or refused at the limit.
func NewPlaces(limit int, closed func()) *Places {
	if limit == 0 {
		limit = int(^uint(0) >> 1)
	}
	return &Places{table: table{limit: limit}, closed: closed}
}

// Place is the place of one link or stream. Its use is counted: while it is 0 the place may
// be given to another.
type Place struct {
	places *Places
	entry  entry
	uses   int
}

// Enter takes a place. At the limit the one that sits longest unused is closed, or the new
// one if all are used; the result is nil then. closeIt must not block.
func (p *Places) Enter(closeIt func(), now time.Time) *Place {
	place := &Place{places: p, entry: entry{close: closeIt}}
	p.mu.Lock()
	victim := p.table.add(&place.entry, now)
	p.mu.Unlock()
	if victim != nil {
		p.closed()
		victim.close()
	}
	if victim == &place.entry {
		return nil
	}
	return place
}

// Begin marks the place as used. It reports false if it was given to another.
func (p *Place) Begin(now time.Time) bool {
	p.places.mu.Lock()
	defer p.places.mu.Unlock()
	if p.entry.phase == phaseClosed {
		return false
	}
	p.uses++
	p.places.table.move(&p.entry, phaseServing, now)
	return true
}

// End ends one use.
func (p *Place) End(now time.Time) {
	p.places.mu.Lock()
	defer p.places.mu.Unlock()
	if p.uses--; p.uses == 0 {
		p.places.table.move(&p.entry, phaseIdle, now)
	}
}

// Leave frees the place.
func (p *Place) Leave() {
	p.places.mu.Lock()
	defer p.places.mu.Unlock()
	p.places.table.remove(&p.entry)
}
