package routing

import "boragefall/internal/host"

// Load is the load that a gate reports with an answer.
type Load struct {
	// Running is the number of running requests.
	Running int
	// Queued is the number of queued requests.
	Queued int
	// Limit is the concurrency limit of the gate.
	Limit int
	// State is the state of the backend server.
	State host.State
}

// Layout of a packedLoad from the lowest bit up: requests of other senders, limit,
// state.
const (
	loadFieldBits  = 24
	loadFieldMax   = 1<<loadFieldBits - 1
	loadLimitShift = loadFieldBits
	loadStateShift = 2 * loadFieldBits
)

// packedLoad is a load report packed into one word, so that it can be read and
// written atomically. It holds the requests of other senders only.
type packedLoad uint64

func packLoad(otherSenders, limit int, state host.State) packedLoad {
	otherSenders = min(max(otherSenders, 0), loadFieldMax)
	limit = min(max(limit, 0), loadFieldMax)
	return packedLoad(otherSenders) | packedLoad(limit)<<loadLimitShift | packedLoad(state)<<loadStateShift
}

func (p packedLoad) othersRequests() int {
	return int(p & loadFieldMax)
}

func (p packedLoad) limit() int {
	return int(p >> loadLimitShift & loadFieldMax)
}

func (p packedLoad) state() host.State {
	return host.State(p >> loadStateShift)
}
