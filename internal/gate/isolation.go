package gate

import (
	"slices"
	"time"
)

const (
	// isolationPause is how many times as long as an isolation other requests
	// then have the server: isolation takes at most a quarter of the time.
	isolationPause = 3
	// suspectShare is the part of the queue limit that suspects may fill.
	suspectShare = 4
)

// phase is a stage of an isolation.
type phase uint8

const (
	phaseNone    phase = iota
	phaseHolding       // others are held back until a suspect can start
	phaseAlone         // a suspect runs within the cold limit
)

// isolation lets suspects run one at a time, each as if the server were cold:
// no more than the cold limit runs beside and with it. Other requests lose at
// most a bounded time to a suspect and have a longer one before the next.
type isolation struct {
	cfg     Config
	waiting []*waiter
	// running is the suspect that runs, even beyond its time alone.
	running   *Permit
	phase     phase
	since     time.Time
	phaseFrom time.Time
	notBefore time.Time
}

// limit returns how many requests that are not suspect may run.
func (i *isolation) limit(limit int) int {
	switch i.phase {
	case phaseHolding:
		return 0
	case phaseAlone:
		return min(limit, i.cfg.Service.ColdLimit)
	default:
		return limit
	}
}

// admits reports whether another suspect with this fingerprint may wait. Copies
// of one request learn nothing that the first does not.
func (i *isolation) admits(fp uint64) bool {
	if len(i.waiting) >= max(1, i.cfg.Service.QueueLimit/suspectShare) {
		return false
	}
	if i.running != nil && i.running.request.Fingerprint == fp {
		return false
	}
	return !slices.ContainsFunc(i.waiting, func(w *waiter) bool { return w.request.Fingerprint == fp })
}

// push adds a suspect; those that are idempotent go first.
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

// next moves the isolation on and returns the suspect to start now, or nil.
// room reports whether the server runs less than the cold limit.
func (i *isolation) next(now time.Time, room bool) *waiter {
	i.expire(now)
	if len(i.waiting) == 0 {
		if i.phase == phaseHolding {
			i.end(now)
		}
		return nil
	}
	if i.phase == phaseNone && i.running == nil && !now.Before(i.notBefore) {
		i.enter(phaseHolding, now)
		i.since = now
	}
	if i.phase != phaseHolding || !room {
		return nil
	}
	w := i.waiting[0]
	i.waiting = slices.Delete(i.waiting, 0, 1)
	return w
}

// started notes that a suspect runs.
func (i *isolation) started(p *Permit, now time.Time) {
	i.running = p
	i.enter(phaseAlone, now)
}

// finished notes that a suspect ended.
func (i *isolation) finished(now time.Time) {
	i.running = nil
	if i.phase == phaseAlone {
		i.end(now)
	}
}

func (i *isolation) enter(p phase, now time.Time) {
	i.phase = p
	i.phaseFrom = now
}

// expire ends a phase that has taken as long as it may.
func (i *isolation) expire(now time.Time) {
	if i.phase != phaseNone && !now.Before(i.phaseEnd()) {
		i.end(now)
	}
}

func (i *isolation) phaseEnd() time.Time {
	if i.phase == phaseHolding {
		return i.phaseFrom.Add(i.cfg.SuspectHold)
	}
	return i.phaseFrom.Add(i.cfg.SuspectAlone)
}

func (i *isolation) end(now time.Time) {
	i.phase = phaseNone
	i.notBefore = now.Add(isolationPause * now.Sub(i.since))
}

// wakeAt returns when next has to be called again though nothing happened;
// zero if never.
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

// drop takes out all waiting suspects and returns them.
func (i *isolation) drop() []*waiter {
	all := i.waiting
	i.waiting = nil
	return all
}
