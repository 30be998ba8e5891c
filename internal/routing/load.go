package routing

import "boragefall/internal/host"

// Load is what a gate says of its load on an answer.
type Load struct {
	// Running is the number of requests that run.
	Running int
	// Queued is the number of requests that wait.
	Queued int
	// Limit is the number of requests that the gate lets run at once.
	Limit int
	// State is the state of the backend server.
	State host.State
}

// Layout of a packed load: foreign requests, limit, state.
const (
	loadFieldBits  = 24
	loadFieldMax   = 1<<loadFieldBits - 1
	loadLimitShift = loadFieldBits
	loadStateShift = 2 * loadFieldBits
)

// packedLoad is a Load in one word, so that it is read and written whole.
// Foreign is the number of requests of other senders.
type packedLoad uint64

func packLoad(otherSenders, limit int, state host.State) packedLoad {
	otherSenders = min(max(otherSenders, 0), loadFieldMax)
	limit = min(max(limit, 0), loadFieldMax)
	return packedLoad(otherSenders) | packedLoad(limit)<<loadLimitShift | packedLoad(state)<<loadStateShift
}

func (p packedLoad) otherSenders() int {
	return int(p & loadFieldMax)
}

func (p packedLoad) limit() int {
	return int(p >> loadLimitShift & loadFieldMax)
}

func (p packedLoad) state() host.State {
	return host.State(p >> loadStateShift)
}
