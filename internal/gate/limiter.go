package gate

import (
	"slices"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

const (
	// decreaseFactor lowers the limit when the server sheds load or requests time out.
	decreaseFactor = 0.75
	// maxBootIDs bounds the remembered boot IDs of one server.
	maxBootIDs = 8
)

// Causes of a return to the cold limit, as logged.
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

// sample is what the outcome of one request shows about the server.
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
	// latestSequence is the sequence of the gate's latest admission.
	latestSequence uint64
}

// limiter is the state machine that sets how many requests may run at once. It starts at
// the cold limit. Only successful answers to real requests raise the limit; time, hints
// and probes never do. It is not safe for concurrent use.
type limiter struct {
	cfg Config
	// limit is the limit reached through successful answers, before hints and probation
	// lower it.
	limit int
	warm  bool
	// warmUpSuccesses counts the successful answers at full load since the server turned
	// cold, and successesAtLimit those at the present limit.
	warmUpSuccesses  int
	successesAtLimit int
	// epoch counts the times that the server's state became uncertain. Answers to
	// requests admitted in an earlier epoch don't raise the limit.
	epoch uint64
	// coldEpoch is the epoch in which the server last turned cold. Faults of requests
	// admitted before it belong to that event and are ignored.
	coldEpoch uint64
	// probation is the number of successful answers still needed to lift the cold limit
	// after an event that is not a fault; 0 means no probation.
	probation int
	// recovering reports that an alarm reset the limit, which has not reached the number
	// of slots again.
	recovering bool
	// down reports that the last attempt could not connect to the server; downAt is when.
	down   bool
	downAt time.Time
	// decreaseSequence is the admission sequence at the last decrease. One overload fails
	// many requests at once but lowers the limit only once.
	decreaseSequence uint64
	hint             hintCap
	latency          *latencyMonitor
	// bootIDs holds the server's boot IDs from answers, the present one last.
	bootIDs []string
	// hintBootIDs holds the boot IDs that only hints have reported.
	hintBootIDs []string
	// cause is the cause of the last return to the cold limit.
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

// state returns the cold, warm or down state of the server.
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

// setService applies new settings. The limit that a warm server has reached is kept. The
// limit of a cold server changes by as much as the cold limit, so that the new settings
// don't raise it further above the cold limit.
func (l *limiter) setService(s config.Service) {
	if !l.warm {
		l.limit += s.ColdLimit - l.cfg.Service.ColdLimit
	}
	l.limit = min(max(l.limit, 1), s.Slots)
	l.cfg.Service = s
}

// recordSuccess handles an answer that is not an error.
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
		return // the answer shows nothing about a load above the one it ran under
	}
	if !l.warm {
		l.recordWarmUp()
		return
	}
	l.increaseLimit()
}

// recordWarmUp counts one successful answer of a cold server. The server stays at the
// cold limit until it has given WarmAfter of them, whatever their latency.
func (l *limiter) recordWarmUp() {
	l.warmUpSuccesses++
	l.warm = l.warmUpSuccesses >= l.cfg.Service.WarmAfter
}

// recordResponse handles any answer and reports whether its boot ID shows a restart.
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

// appendBootID adds a boot ID to a list and drops the oldest one beyond maxBootIDs.
func appendBootID(bootIDs []string, bootID string) []string {
	if len(bootIDs) == maxBootIDs {
		bootIDs = slices.Delete(bootIDs, 0, 1)
	}
	return append(bootIDs, bootID)
}

// increaseLimit counts one successful answer at the present limit, and raises the limit
// by one after as many of them as the limit.
func (l *limiter) increaseLimit() {
	l.successesAtLimit++
	if l.successesAtLimit < l.limit {
		return
	}
	l.successesAtLimit = 0
	l.limit = min(l.limit+1, l.cfg.Service.Slots)
	l.recovering = l.recovering && l.limit < l.cfg.Service.Slots
}

// recordSlow handles a slow answer: it discards the progress towards the next increase
// and may raise an alarm.
func (l *limiter) recordSlow() {
	l.successesAtLimit = 0
	l.hint.resetContradictions()
	if l.latency.alarm() {
		l.handleAlarm(causeSlow)
	}
}

// handleAlarm handles a sign that the server may have turned cold. A brief stall of all
// running requests looks the same, so the first alarm of a warm server only resets the
// limit to the cold limit. The limit then rises by one slot a round. A second alarm
// during that recovery, under light load, means that the server is cold.
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

// recordOverload handles a sign of overload: the server shed a request, or a request
// timed out.
func (l *limiter) recordOverload(s sample) {
	l.hint.resetContradictions()
	l.successesAtLimit = 0
	if s.epoch < l.coldEpoch || s.sequence <= l.decreaseSequence {
		return
	}
	l.limit = max(1, int(float64(min(l.limit, l.cfg.Service.Slots))*decreaseFactor))
	l.decreaseSequence = s.latestSequence
}

// recordTimeout handles a request whose deadline passed. A timeout within the server's
// normal latency shows nothing about the server.
func (l *limiter) recordTimeout(s sample) {
	if s.latency <= l.latency.slowThreshold(s.class) {
		return
	}
	l.recordOverload(s)
}

// recordConnectionRefused handles a refused connection.
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

// turnCold returns to the cold limit and restarts the warm-up.
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

// startProbation holds the cold limit until a few successful answers show that the server
// is the same process and no slower. A server without boot IDs can't show that, so it
// turns cold.
func (l *limiter) startProbation(cause string) {
	if len(l.bootIDs) == 0 {
		l.turnCold(cause)
		return
	}
	l.epoch++
	l.cause = cause
	l.probation = l.cfg.ProbationSuccesses
}

// recordProbationSuccess handles a successful answer during probation.
func (l *limiter) recordProbationSuccess(s sample) {
	if s.bootID == "" {
		l.turnCold(l.cause)
		return
	}
	l.probation--
}

// applyHint applies a hint to the cap and checks its boot ID.
func (l *limiter) applyHint(h Hint, now time.Time) {
	l.hint.apply(h, l.cfg.Service.Slots, now, l.cfg)
	if h.BootID == "" || slices.Contains(l.bootIDs, h.BootID) || slices.Contains(l.hintBootIDs, h.BootID) {
		return
	}
	first := len(l.bootIDs) == 0 && len(l.hintBootIDs) == 0
	l.hintBootIDs = appendBootID(l.hintBootIDs, h.BootID)
	// The hint may be wrong, so a new boot ID only starts a probation, and only once: an
	// answer with the new boot ID turns the server cold, answers with the known one end
	// the probation.
	if !first {
		l.startProbation(causeBoot)
	}
}
