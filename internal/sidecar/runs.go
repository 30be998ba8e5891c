package sidecar

import (
	"strings"
	"sync"
	"sync/atomic"
)

// callSeparator stands between the id of a request and what its server adds to it for
// the calls that it makes meanwhile.
const callSeparator = "."

// run is a request that the server beside this node works on.
type run struct {
	// isRetry reports that the request reached another server before.
	isRetry bool
	// callAnswered reports that a call of the run was answered.
	callAnswered atomic.Bool
}

// activeRuns are the requests that the server beside this node works on, by their ids. They
// tell which of its own calls belong to which. It is safe for concurrent use.
type activeRuns struct {
	byID sync.Map // string to *run
}

func (r *activeRuns) begin(id string, started *run) {
	r.byID.Store(id, started)
}

func (r *activeRuns) end(id string) {
	r.byID.Delete(id)
}

// parent returns the run that made a call, or nil when the request is no call of a run
// that is known.
func (r *activeRuns) parent(id string) *run {
	for at := strings.LastIndex(id, callSeparator); at > 0; at = strings.LastIndex(id[:at], callSeparator) {
		if found, ok := r.byID.Load(id[:at]); ok {
			return found.(*run)
		}
	}
	return nil
}
