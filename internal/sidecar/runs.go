package sidecar

import (
	"strings"
	"sync"
	"sync/atomic"

	"boragefall/internal/callbudget"
)

// callSeparator separates the ID of a request from the suffix that its server appends
// for the nested calls that it makes.
const callSeparator = "."

// run is a request that the server beside this node is running.
type run struct {
	// isRetry reports whether the request reached another server before.
	isRetry bool
	// callAnswered reports whether a nested call of the run was answered.
	callAnswered atomic.Bool
	// rank is the rank of the request; its calls have it too.
	rank int
	// budget records the outcomes of the calls; nil records none.
	budget *callbudget.Run
	// calls measures the time in which nested calls of the run are in progress.
	calls callWait
}

// activeRuns holds the requests that the server beside this node is running, by ID. It
// is used to find the run that made a nested call. It is safe for concurrent use.
type activeRuns struct {
	byID sync.Map // map[string]*run
}

func (r *activeRuns) begin(id string, started *run) {
	r.byID.Store(id, started)
}

func (r *activeRuns) end(id string) {
	r.byID.Delete(id)
}

// parent returns the run that made a nested call, or nil if no known run made the
// request.
func (r *activeRuns) parent(id string) *run {
	for at := strings.LastIndex(id, callSeparator); at > 0; at = strings.LastIndex(id[:at], callSeparator) {
		if found, ok := r.byID.Load(id[:at]); ok {
			return found.(*run)
		}
	}
	return nil
}
