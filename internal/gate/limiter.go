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
	// maxBoots bounds the remembered boot ids of one server.
	maxBoots = 8
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

// evidence is what one answer says about the server.
type evidence struct {
	class   string
	latency time.Duration
	bootID  string
	// epoch and sequence are those of the request's admission.
	epoch    uint64
	sequence uint64
	// full reports that all slots under limit were taken while the request ran.
	full  bool
	limit int
	// latest is the sequence of the gate's latest admission.
	latest uint64
}

// limiter is the state machine behind the number of requests that may run at
// once. It starts cold. Only good answers to real work raise it; time, hints
// and probes never do. It is not safe for concurrent use.
type limiter struct {
	cfg Config
	// limit is what answers have proved, before hints and probation lower it.
	limit int
	warm  bool
	// proved counts the good answers since the server turned cold, and credit
	// those at the present limit while it was full.
	proved int
	credit int
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
	// decreasedAt is the admission sequence at the last decrease. One overload
	// fails many requests at once and lowers the limit once.
	decreasedAt uint64
	hint        hintCap
	latency     *latencies
	// boots holds the server's boot ids, the present one last.
	boots []string
	// hintBoots holds the boot ids that only hints have named.
	hintBoots []string
	// cause is why the limiter last went back to the cold limit.
	cause string
}

func newLimiter(cfg Config) *limiter {
	return &limiter{
		cfg:     cfg,
		limit:   cfg.Service.ColdLimit,
		latency: newLatencies(),
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
	return max(1, l.hint.lower(limit, now, l.cfg))
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

// good takes in an answer that is not an error.
func (l *limiter) good(e evidence, now time.Time) {
	if l.answered(e) {
		return
	}
	if e.epoch != l.epoch {
		return
	}
	if l.latency.observe(e.class, e.latency) {
		l.slow()
		return
	}
	l.hint.refute(now)
	if l.probation > 0 {
		l.probe(e)
		return
	}
	if !e.full || e.limit != l.limit {
		return // it proves no more than the load it ran under
	}
	if !l.warm {
		l.warmUp()
		return
	}
	l.raise()
}

// warmUp counts one good answer of a cold server. It bears no more than the
// cold limit until it has given WarmAfter of them, whatever its latency says.
func (l *limiter) warmUp() {
	l.proved++
	l.warm = l.proved >= l.cfg.Service.WarmAfter
}

// answered notes that the server lives and reports whether it restarted.
func (l *limiter) answered(e evidence) bool {
	if e.epoch == l.epoch {
		l.down = false
	}
	if e.bootID == "" || slices.Contains(l.boots, e.bootID) {
		return false
	}
	first := len(l.boots) == 0
	l.boots = remember(l.boots, e.bootID)
	if first {
		return false
	}
	l.turnCold(causeBoot)
	return true
}

// remember adds a boot id to a list and drops the oldest beyond maxBoots.
func remember(boots []string, bootID string) []string {
	if len(boots) == maxBoots {
		boots = slices.Delete(boots, 0, 1)
	}
	return append(boots, bootID)
}

// raise counts one good answer at the present limit and takes a step after one
// round of them.
func (l *limiter) raise() {
	l.credit++
	if l.credit < l.limit {
		return
	}
	l.credit = 0
	l.limit = min(l.limit+1, l.cfg.Service.Slots)
	l.recovering = l.recovering && l.limit < l.cfg.Service.Slots
}

// slow takes in a slow answer: no step at this limit, and perhaps an alarm.
func (l *limiter) slow() {
	l.credit = 0
	l.hint.trust()
	if l.latency.alarm() {
		l.alarmed(causeSlow)
	}
}

// alarmed takes in a sign that the server may have turned cold. A hiccup that
// hits all running requests looks the same, so the first alarm of a warm server
// only puts the limit back: it rises one slot a round, and a second alarm on
// the way, when the load is still small, means that the server is cold.
func (l *limiter) alarmed(cause string) {
	if !l.warm || l.recovering || l.limit <= l.cfg.Service.ColdLimit {
		l.turnCold(cause)
		return
	}
	l.limit = l.cfg.Service.ColdLimit
	l.credit = 0
	l.recovering = true
	l.epoch++
	l.latency.clearVotes()
	l.cause = cause
}

// shed takes in an overload: the server said so, or work timed out on it.
func (l *limiter) shed(e evidence) {
	l.hint.trust()
	l.credit = 0
	if e.epoch < l.coldEpoch || e.sequence <= l.decreasedAt {
		return
	}
	l.limit = max(1, int(float64(min(l.limit, l.cfg.Service.Slots))*decreaseFactor))
	l.decreasedAt = e.latest
}

// timeout takes in a request that ran out of time. A deadline that was shorter
// than the server's ordinary latency says nothing about the server.
func (l *limiter) timeout(e evidence) {
	if e.latency <= l.latency.slowLimit(e.class) {
		return
	}
	l.shed(e)
}

// refused takes in a refused connection.
func (l *limiter) refused(e evidence, now time.Time) {
	if e.epoch < l.coldEpoch {
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
	l.proved, l.credit = 0, 0
	l.probation = 0
	l.epoch++
	l.coldEpoch = l.epoch
	l.hint.trust()
	l.latency.clearVotes()
	l.cause = cause
}

// doubt holds the cold limit until a few good answers show that the server is
// the same process and no slower. A server without boot ids can't show that.
func (l *limiter) doubt(cause string) {
	if len(l.boots) == 0 {
		l.turnCold(cause)
		return
	}
	l.epoch++
	l.cause = cause
	l.probation = l.cfg.ProbationAnswers
}

// probe takes in a good answer during a probation.
func (l *limiter) probe(e evidence) {
	if e.bootID == "" {
		l.turnCold(l.cause)
		return
	}
	l.probation--
}

// hinted takes in a hint.
func (l *limiter) hinted(h Hint, now time.Time) {
	l.hint.apply(h, l.cfg.Service.Slots, now, l.cfg)
	if h.BootID == "" || slices.Contains(l.boots, h.BootID) || slices.Contains(l.hintBoots, h.BootID) {
		return
	}
	first := len(l.boots) == 0 && len(l.hintBoots) == 0
	l.hintBoots = remember(l.hintBoots, h.BootID)
	// The hint may lie, so it only raises a doubt, and once: an answer with the
	// new boot id turns the server cold, answers with the known one end it.
	if !first {
		l.doubt(causeBoot)
	}
}
