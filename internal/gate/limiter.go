package gate

import (
	"slices"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

const (
	// decreaseFactor lowers the limit when the server sheds or times out.
	decreaseFactor = 0.75
	// maxBootIDs bounds the remembered boot ids of one server.
	maxBootIDs = 8
)

// Causes of a return to the cold limit, as they stand in the log.
const (
	causeSlow     = "answers turned slow"
	causeOverdue  = "running requests are overdue"
	causeRefused  = "connection refused"
	causeCrash    = "server crashed"
	causeBoot     = "server restarted"
	causeReturned = "server returned"
	causePaused   = "process was paused"
	causeIdle     = "nothing ran"
)

// sample is what one answer says about the server.
type sample struct {
	class   string
	latency time.Duration
	bootID  string
	// epoch and sequence are those of the request's admission.
	epoch    uint64
	sequence uint64
	// saturated reports that all slots under limit were taken while the request ran.
	saturated bool
	limit     int
	// latestSequence is the sequence of the gate's latestSequence admission.
	latestSequence uint64
}

// limiter is the state machine behind the number of requests that may run at
// once. It starts cold. Only good answers to real work raise it; time, hints
// and probes never do. It is not safe for concurrent use.
type limiter struct {
	cfg Config
	// limit is what answers have proved, before hints and probation lower it.
	limit int
	warm  bool
	// warmUpSuccesses counts the good answers since the server turned cold, and credit
	// those at the present limit while it was full.
	warmUpSuccesses  int
	successesAtLimit int
	// epoch counts the doubts about the server. Answers to requests admitted in
	// an earlier epoch prove nothing about it.
	epoch uint64
	// coldEpoch is the epoch in which the server last turned cold. Faults of
	// requests that were admitted before are part of that.
	coldEpoch uint64
	// probation is the number of good answers that lift the cold limit again
	// after a doubt that is not a fault; 0 means none is wanted.
	probation int
	// recovering reports that the limit was put back by an alarm and has not
	// risen to the slots since.
	recovering bool
	// down reports that the last attempt found no server, at downAt.
	down   bool
	downAt time.Time
	// decreaseSequence is the admission sequence at the last decrease. One overload
	// fails many requests at once and lowers the limit once.
	decreaseSequence uint64
	hint             hintCap
	latency          *latencyMonitor
	// bootIDs holds the server's boot ids, the present one last.
	bootIDs []string
	// hintBootIDs holds the boot ids that only hints have named.
	hintBootIDs []string
	// cause is why the limiter last went back to the cold limit.
	cause string
}

func newLimiter(cfg Config) *limiter {
	return &limiter{
		cfg:     cfg,
		limit:   cfg.Service.ColdLimit,
		latency: newLatencyMonitor(),
	}
}

// current returns how many requests may run at once now; at least 1.
func (l *limiter) current(now time.Time) int {
	limit := min(l.limit, l.cfg.Service.Slots)
	if l.probation > 0 {
		limit = min(limit, l.cfg.Service.ColdLimit)
	}
	if l.down {
		limit = 1
	}
	return max(1, l.hint.capLimit(limit, now, l.cfg))
}

// state returns cold, warm or down.
func (l *limiter) state() host.State {
	switch {
	case l.down:
		return host.StateDown
	case l.warm && l.probation == 0 && !l.recovering:
		return host.StateWarm
	default:
		return host.StateCold
	}
}

// setService takes in new settings. What answers have proved stays proved, but
// a cold server keeps no more above its cold limit than it has earned.
func (l *limiter) setService(s config.Service) {
	if !l.warm {
		l.limit += s.ColdLimit - l.cfg.Service.ColdLimit
	}
	l.limit = min(max(l.limit, 1), s.Slots)
	l.cfg.Service = s
}

// recordSuccess takes in an answer that is not an error.
func (l *limiter) recordSuccess(s sample, now time.Time) {
	if l.recordResponse(s) {
		return
	}
	if s.epoch != l.epoch {
		return
	}
	if l.latency.observe(s.class, s.latency) {
		l.recordSlow()
		return
	}
	l.hint.recordContradiction(now)
	if l.probation > 0 {
		l.recordProbationSuccess(s)
		return
	}
	if !s.saturated || s.limit != l.limit {
		return // it proves no more than the load it ran under
	}
	if !l.warm {
		l.recordWarmUp()
		return
	}
	l.increaseLimit()
}

// recordWarmUp counts one good answer of a cold server. It bears no more than the
// cold limit until it has given WarmAfter of them, whatever its latency says.
func (l *limiter) recordWarmUp() {
	l.warmUpSuccesses++
	l.warm = l.warmUpSuccesses >= l.cfg.Service.WarmAfter
}

// recordResponse notes that the server lives and reports whether it restarted.
func (l *limiter) recordResponse(s sample) bool {
	if s.epoch == l.epoch {
		l.down = false
	}
	if s.bootID == "" || slices.Contains(l.bootIDs, s.bootID) {
		return false
	}
	first := len(l.bootIDs) == 0
	l.bootIDs = appendBootID(l.bootIDs, s.bootID)
	if first {
		return false
	}
	l.turnCold(causeBoot)
	return true
}

// appendBootID adds a boot id to a list and drops the oldest beyond maxBoots.
func appendBootID(bootIDs []string, bootID string) []string {
	if len(bootIDs) == maxBootIDs {
		bootIDs = slices.Delete(bootIDs, 0, 1)
	}
	return append(bootIDs, bootID)
}

// increaseLimit counts one good answer at the present limit and takes a step after one
// round of them.
func (l *limiter) increaseLimit() {
	l.successesAtLimit++
	if l.successesAtLimit < l.limit {
		return
	}
	l.successesAtLimit = 0
	l.limit = min(l.limit+1, l.cfg.Service.Slots)
	l.recovering = l.recovering && l.limit < l.cfg.Service.Slots
}

// recordSlow takes in a recordSlow answer: no step at this limit, and perhaps an alarm.
func (l *limiter) recordSlow() {
	l.successesAtLimit = 0
	l.hint.resetContradictions()
	if l.latency.alarm() {
		l.handleAlarm(causeSlow)
	}
}

// handleAlarm takes in a sign that the server may have turned cold. A hiccup that
// hits all running requests looks the same, so the first alarm of a warm server
// only puts the limit back: it rises one slot a round, and a second alarm on
// the way, when the load is still small, means that the server is cold.
func (l *limiter) handleAlarm(cause string) {
	if !l.warm || l.recovering || l.limit <= l.cfg.Service.ColdLimit {
		l.turnCold(cause)
		return
	}
	l.limit = l.cfg.Service.ColdLimit
	l.successesAtLimit = 0
	l.recovering = true
	l.epoch++
	l.latency.clearVotes()
	l.cause = cause
}

// recordOverload takes in an overload: the server said so, or work timed out on it.
func (l *limiter) recordOverload(s sample) {
	l.hint.resetContradictions()
	l.successesAtLimit = 0
	if s.epoch < l.coldEpoch || s.sequence <= l.decreaseSequence {
		return
	}
	l.limit = max(1, int(float64(min(l.limit, l.cfg.Service.Slots))*decreaseFactor))
	l.decreaseSequence = s.latestSequence
}

// recordTimeout takes in a request that ran out of time. A deadline that was shorter
// than the server's ordinary latency says nothing about the server.
func (l *limiter) recordTimeout(s sample) {
	if s.latency <= l.latency.slowThreshold(s.class) {
		return
	}
	l.recordOverload(s)
}

// recordConnectionRefused takes in a recordConnectionRefused connection.
func (l *limiter) recordConnectionRefused(s sample, now time.Time) {
	if s.epoch < l.coldEpoch {
		return
	}
	l.downAt = now
	if !l.down {
		l.turnCold(causeRefused)
		l.down = true
	}
}

// turnCold goes back to the cold limit; it has to be proved again.
func (l *limiter) turnCold(cause string) {
	l.limit = min(l.limit, l.cfg.Service.ColdLimit)
	l.warm = false
	l.recovering = false
	l.warmUpSuccesses, l.successesAtLimit = 0, 0
	l.probation = 0
	l.epoch++
	l.coldEpoch = l.epoch
	l.hint.resetContradictions()
	l.latency.clearVotes()
	l.cause = cause
}

// startProbation holds the cold limit until a few good answers show that the server is
// the same process and no slower. A server without boot ids can't show that.
func (l *limiter) startProbation(cause string) {
	if len(l.bootIDs) == 0 {
		l.turnCold(cause)
		return
	}
	l.epoch++
	l.cause = cause
	l.probation = l.cfg.ProbationSuccesses
}

// recordProbationSuccess takes in a good answer during a probation.
func (l *limiter) recordProbationSuccess(s sample) {
	if s.bootID == "" {
		l.turnCold(l.cause)
		return
	}
	l.probation--
}

// applyHint takes in a hint.
func (l *limiter) applyHint(h Hint, now time.Time) {
	l.hint.apply(h, l.cfg.Service.Slots, now, l.cfg)
	if h.BootID == "" || slices.Contains(l.bootIDs, h.BootID) || slices.Contains(l.hintBootIDs, h.BootID) {
		return
	}
	first := len(l.bootIDs) == 0 && len(l.hintBootIDs) == 0
	l.hintBootIDs = appendBootID(l.hintBootIDs, h.BootID)
	// The hint may lie, so it only raises a doubt, and once: an answer with the
	// new boot id turns the server cold, answers with the known one end it.
	if !first {
		l.startProbation(causeBoot)
	}
}
