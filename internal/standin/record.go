package standin

import (
	"sync"
	"time"

	"boragefall/internal/host"
)

// HeaderOperation names the caller's operation. A request and its re-sends
// carry the same one; the record counts runs by it.
const HeaderOperation = "Standin-Operation"

// Run is one run of an operation on a backend server.
type Run struct {
	Operation string
	Host      host.ID
	Method    string
	At        time.Time
}

// Record is what backend servers did: each run of each operation, and each
// overload of a cold server. It outlives the servers' crashes.
type Record struct {
	mu            sync.Mutex
	runs          []Run
	counts        map[string]int
	coldOverloads int
	crashes       int
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{counts: map[string]int{}}
}

func (r *Record) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.counts[run.Operation]++
}

func (r *Record) addColdOverload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldOverloads++
}

func (r *Record) addCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
}

// Count returns how often an operation ran.
func (r *Record) Count(operation string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[operation]
}

// Runs returns a copy of all runs, in the order of their starts.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ColdOverloads returns how often a cold server got more than it bears.
func (r *Record) ColdOverloads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldOverloads
}

// Crashes returns how often servers crashed.
func (r *Record) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}
