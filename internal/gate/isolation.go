package gate

import (
	"slices"
	"time"
)

const (
	// isolationCooldownFactor is the length of the cooldown after an isolation, as a
	// multiple of the isolation's own length. Isolations thus take at most a quarter of
	// the time.
	isolationCooldownFactor = 3
	// suspectQueueDivisor divides the queue limit to give the limit on waiting suspects.
	suspectQueueDivisor = 4
)

// phase is a stage of an isolation.
type phase uint8

const (
	phaseNone      phase = iota
	phaseDraining        // other requests are held back until a suspect can start
	phaseExclusive       // a suspect runs within the cold limit
)

// isolation runs suspects one at a time, each as if the server were cold: the suspect and
// the requests beside it stay within the cold limit. Each isolation delays other requests
// for a bounded time, and a longer cooldown precedes the next one.
type isolation struct {
	cfg     Config
	waiting []*waiter
	// running is the suspect that runs, even beyond the exclusive phase.
	running    *Permit
	phase      phase
	startedAt  time.Time
	phaseStart time.Time
	notBefore  time.Time
}

// limit returns how many requests that are not suspect may run, given the server's limit.
func (i *isolation) limit(limit int) int {
	switch i.phase {
	case phaseDraining:
		return 0
	case phaseExclusive:
		return min(limit, i.cfg.Service.ColdLimit)
	default:
		return limit
	}
}

// admits reports whether another suspect with this fingerprint may wait. Running copies
// of one request shows nothing that the first run does not.
func (i *isolation) admits(fp uint64) bool {
	if len(i.waiting) >= max(1, i.cfg.Service.QueueLimit/suspectQueueDivisor) {
		return false
	}
	if i.running != nil && i.running.request.Fingerprint == fp {
		return false
	}
	return !slices.ContainsFunc(i.waiting, func(w *waiter) bool { return w.request.Fingerprint == fp })
}

// push adds a suspect to the queue; idempotent suspects go first.
func (i *isolation) push(w *waiter) {
	at := len(i.waiting)
	if w.request.Idempotent {
		at = slices.IndexFunc(i.waiting, func(other *waiter) bool { return !other.request.Idempotent })
		if at < 0 {
			at = len(i.waiting)
		}
	}
	i.waiting = slices.Insert(i.waiting, at, w)
}

func (i *isolation) remove(w *waiter) {
	i.waiting = slices.DeleteFunc(i.waiting, func(other *waiter) bool { return other == w })
}

// next advances the isolation and returns the suspect to start now, or nil. canStart
// reports whether the server is below the cold limit.
func (i *isolation) next(now time.Time, canStart bool) *waiter {
	i.expire(now)
	if len(i.waiting) == 0 {
		if i.phase == phaseDraining {
			i.end(now)
		}
		return nil
	}
	if i.phase == phaseNone && i.running == nil && !now.Before(i.notBefore) {
		i.enter(phaseDraining, now)
		i.startedAt = now
	}
	if i.phase != phaseDraining || !canStart {
		return nil
	}
	w := i.waiting[0]
	i.waiting = slices.Delete(i.waiting, 0, 1)
	return w
}

// recordStart begins the exclusive phase of a suspect that starts.
func (i *isolation) recordStart(p *Permit, now time.Time) {
	i.running = p
	i.enter(phaseExclusive, now)
}

// recordEnd records that the running suspect ended.
func (i *isolation) recordEnd(now time.Time) {
	i.running = nil
	if i.phase == phaseExclusive {
		i.end(now)
	}
}

func (i *isolation) enter(p phase, now time.Time) {
	i.phase = p
	i.phaseStart = now
}

// expire ends a phase whose time is over.
func (i *isolation) expire(now time.Time) {
	if i.phase != phaseNone && !now.Before(i.phaseEnd()) {
		i.end(now)
	}
}

func (i *isolation) phaseEnd() time.Time {
	if i.phase == phaseDraining {
		return i.phaseStart.Add(i.cfg.SuspectDrainTimeout)
	}
	return i.phaseStart.Add(i.cfg.SuspectExclusiveTime)
}

func (i *isolation) end(now time.Time) {
	i.phase = phaseNone
	i.notBefore = now.Add(isolationCooldownFactor * now.Sub(i.startedAt))
}

// wakeAt returns when next has to be called even without another event; zero if never.
func (i *isolation) wakeAt() time.Time {
	switch {
	case i.phase != phaseNone:
		return i.phaseEnd()
	case len(i.waiting) > 0 && i.running == nil:
		return i.notBefore
	default:
		return time.Time{}
	}
}

// takeAll removes and returns all waiting suspects.
func (i *isolation) takeAll() []*waiter {
	all := i.waiting
	i.waiting = nil
	return all
}
