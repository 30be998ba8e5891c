package gate

import (
	"sync/atomic"

	"boragefall/internal/host"
)

// Load is the load of the backend server, as known to its gate.
type Load struct {
	// Running is the number of admitted requests that have not ended.
	Running int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Limit is the number of requests that may run at once now.
	Limit int
	// State is cold, warm, leaving or down.
	State host.State
}

// Layout of a packed load: three counts and the state, from the least significant bits.
const (
	loadBits   = 20
	loadMask   = 1<<loadBits - 1
	stateShift = 3 * loadBits
)

// packedLoad lets readers get a consistent Load without the gate's mutex.
type packedLoad struct {
	word atomic.Uint64
}

func (p *packedLoad) store(l Load) {
	word := packCount(l.Running) | packCount(l.Queued)<<loadBits | packCount(l.Limit)<<(2*loadBits)
	p.word.Store(word | uint64(l.State)<<stateShift)
}

func (p *packedLoad) load() Load {
	word := p.word.Load()
	return Load{
		Running: int(word & loadMask),
		Queued:  int(word >> loadBits & loadMask),
		Limit:   int(word >> (2 * loadBits) & loadMask),
		State:   host.State(word >> stateShift),
	}
}

func packCount(n int) uint64 {
	return uint64(min(max(n, 0), loadMask))
}
