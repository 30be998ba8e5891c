package sidecar

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/phuslu/log"

	"boragefall/internal/mesh"
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
	// maxBrokenRuns bounds the broken runs whose cause is unknown.
	maxBrokenRuns = 512
)

// brokenRun is a run that ended without an answer.
type brokenRun struct {
	fingerprint         uint64
	server              mesh.ServerID
	startedAt, brokenAt time.Time
}

// crashedRun is a run during which its server crashed.
type crashedRun struct {
	fingerprint          uint64
	startedAt, crashedAt time.Time
}

// crashNotice is what a gate reports to the other gates of its service.
type crashNotice struct {
	crashed []crashedRun
	// answered holds the fingerprints of suspects that a server answered.
	answered []uint64
	// quarantined holds the requests that the gate refuses.
	quarantined []quarantinedRequest
}

// quarantinedRequest is a request that is refused until a time.
type quarantinedRequest struct {
	fingerprint uint64
	until       time.Time
}

// crashRecord counts the crashes of a request.
type crashRecord struct {
	crashes     int
	lastCrashAt time.Time
	expiresAt   time.Time
}

// crashTracker finds the requests that crash each server that runs them, so that all
// gates of the service refuse them. It counts the crashes of the service during which a
// request was running, and starts again when any server answers the request: one that
// many clients send is running at most crashes, whatever caused them.
//
// A run without an answer counts only once its server is known to have ended. Runs that
// overlap count once, since a loss of power ends several servers at the same time.
//
// It is safe for concurrent use.
type crashTracker struct {
	// notify notifies the other gates of the service; it must not block.
	notify func(crashNotice)
	logger *log.Logger

	mu      sync.Mutex
	records *simplelru.LRU[uint64, crashRecord]
	// broken holds the broken runs of this node's server whose cause is unknown.
	broken []brokenRun
}

func newCrashTracker(notify func(crashNotice), logger *log.Logger) (*crashTracker, error) {
	records, err := simplelru.NewLRU[uint64, crashRecord](maxTrackedRequests, nil)
	if err != nil {
		return nil, err
	}
	return &crashTracker{notify: notify, logger: logger, records: records}, nil
}

// quarantined reports whether a request must no longer be run.
func (t *crashTracker) quarantined(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, ok := t.records.Get(fingerprint)
	return ok && record.quarantined(now)
}

func (r crashRecord) quarantined(now time.Time) bool {
	return r.crashes >= quarantineThreshold && now.Before(r.expiresAt)
}

// quarantinedRequests returns the requests that must no longer be run.
func (t *crashTracker) quarantinedRequests(now time.Time) []quarantinedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quarantinedRequest
	for _, fingerprint := range t.records.Keys() {
		if record, ok := t.records.Peek(fingerprint); ok && record.quarantined(now) {
			out = append(out, quarantinedRequest{fingerprint: fingerprint, until: record.expiresAt})
		}
	}
	return out
}

// recordAnswered records that this node's server ran a request to its end.
func (t *crashTracker) recordAnswered(fingerprint uint64) {
	if t.clear(fingerprint) {
		t.notify(crashNotice{answered: []uint64{fingerprint}})
	}
}

// clear removes what is known against a request. It reports whether there was anything.
func (t *crashTracker) clear(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = slices.DeleteFunc(t.broken, func(r brokenRun) bool { return r.fingerprint == fingerprint })
	return t.records.Remove(fingerprint)
}

// recordBroken records a run that ended without an answer.
func (t *crashTracker) recordBroken(run brokenRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.broken) == maxBrokenRuns {
		t.broken = slices.Delete(t.broken, 0, 1)
	}
	t.broken = append(t.broken, run)
}

// recordResponder records that a server answered a message that was sent to this node's
// server at sentAt. Runs that an incarnation broke off before it answered did not crash it.
// An empty ID is that of a server that does not identify itself.
func (t *crashTracker) recordResponder(id mesh.ServerID, sentAt time.Time) {
	t.settle(func(r brokenRun) runFate {
		switch {
		case id != "" && r.server != id:
			return runCrashed
		case r.brokenAt.Before(sentAt):
			return runSurvived
		default:
			return runUnknown
		}
	})
}

// recordUnreachable records that this node's server accepts no connections.
func (t *crashTracker) recordUnreachable() {
	t.settle(func(brokenRun) runFate { return runCrashed })
}

// runFate is what became of the server of a broken run.
type runFate int

const (
	runUnknown runFate = iota
	runCrashed
	runSurvived
)

// settle ends the wait of the broken runs whose fate is known, and counts the crashes.
func (t *crashTracker) settle(fate func(brokenRun) runFate) {
	t.mu.Lock()
	var crashed []crashedRun
	survived := 0
	t.broken = slices.DeleteFunc(t.broken, func(r brokenRun) bool {
		switch fate(r) {
		case runCrashed:
			run := crashedRun{fingerprint: r.fingerprint, startedAt: r.startedAt, crashedAt: r.brokenAt}
			if !slices.ContainsFunc(crashed, func(c crashedRun) bool { return c.fingerprint == r.fingerprint }) {
				crashed = append(crashed, run)
			}
			return true
		case runSurvived:
			survived++
			return true
		default:
			return false
		}
	})
	for _, run := range crashed {
		t.count(run)
	}
	t.mu.Unlock()
	if survived > 0 {
		t.logger.Info().Str("part", "gate").Int("runs", survived).Msg("server lives on after runs without an answer")
	}
	if len(crashed) > 0 {
		t.logger.Warn().Str("part", "gate").Int("runs", len(crashed)).Msg("server ended while it ran requests")
		t.notify(crashNotice{crashed: crashed})
	}
}

// applyNotice records what another gate of the service reports.
func (t *crashTracker) applyNotice(n crashNotice) {
	t.mu.Lock()
	for _, run := range n.crashed {
		t.count(run)
	}
	for _, request := range n.quarantined {
		t.adopt(request)
	}
	t.mu.Unlock()
	for _, fingerprint := range n.answered {
		t.clear(fingerprint)
	}
}

// adopt quarantines a request that another gate refuses. t.mu must be held.
func (t *crashTracker) adopt(request quarantinedRequest) {
	record, _ := t.records.Get(request.fingerprint)
	if record.crashes < quarantineThreshold {
		t.logger.Warn().Str("part", "gate").Uint64("fingerprint", request.fingerprint).Time("until", request.until).
			Msg("request quarantined by another gate")
	}
	record.crashes = max(record.crashes, quarantineThreshold)
	if request.until.After(record.expiresAt) {
		record.expiresAt = request.until
	}
	t.records.Add(request.fingerprint, record)
}

// count counts a crash against a request unless the run began before an earlier crash that
// is counted. t.mu must be held.
func (t *crashTracker) count(run crashedRun) {
	record, _ := t.records.Get(run.fingerprint)
	if !run.crashedAt.Before(record.expiresAt) {
		record = crashRecord{}
	}
	if !run.startedAt.After(record.lastCrashAt) {
		return
	}
	record.crashes++
	if run.crashedAt.After(record.lastCrashAt) {
		record.lastCrashAt = run.crashedAt
	}
	record.expiresAt = run.crashedAt.Add(quarantineDuration)
	t.records.Add(run.fingerprint, record)
	if record.crashes == quarantineThreshold {
		t.logger.Warn().Str("part", "gate").Uint64("fingerprint", run.fingerprint).Int("crashes", record.crashes).
			Msg("request quarantined")
	}
}
