package admission

import (
	"math"
	"time"

	"boragefall/internal/serverspeed"
)

const (
	// handBackRise is the rise of the server's slowdown from which the requests that wait
	// are checked: the expected waits under which they were accepted no longer hold.
	handBackRise = 1.25
	// handBackTransit is the time that a request needs to get to another gate, through its
	// entry.
	handBackTransit = 5 * time.Millisecond
)

// Observation is what an answer showed about a run.
type Observation struct {
	// CallWait is the time in which calls of the run were in progress.
	CallWait time.Duration
	// StatedPercent is the slowdown that the server stated; 0 if it stated none.
	StatedPercent int
}

// speedHistory is what the machine tracks for the estimates of the server's speed.
type speedHistory struct {
	// cold reports that the server is or was cold since its times were last learned, and
	// warmSince when it became warm.
	cold      bool
	warmSince time.Time
	// lowestSlowdown is the lowest slowdown since the waiting requests were last checked.
	lowestSlowdown float64
}

// beginRun prepares the measurement of a run that starts now and is counted as running.
func (m *Machine) beginRun(t *Ticket, now time.Time) {
	t.startedAt, t.concurrency, t.startedProgress = now, m.running, m.speed.Progress(now)
}

// endRun records a run that ended elapsed after its start. A failed run shows nothing
// about the speed, and neither does one that began while the server was cold and ended
// after that.
func (m *Machine) endRun(t *Ticket, elapsed time.Duration, failed bool) {
	now := t.startedAt.Add(elapsed)
	m.relearnWhenWarm(now)
	m.RecordStated(t.observation.StatedPercent, now)
	if failed || elapsed <= 0 || !m.cold(now) && t.startedAt.Before(m.speedHistory.warmSince) {
		return
	}
	run := serverspeed.Run{
		Class: t.request.Class, Took: elapsed, CallWait: t.observation.CallWait, Concurrency: float64(t.concurrency+m.running) / 2,
	}
	if progress := m.speed.Progress(now) - t.startedProgress; progress > 0 {
		run.Slowdown = elapsed.Seconds() / progress
	}
	m.speed.RecordRun(run, now)
}

// RecordStated records the slowdown in percent that the server stated; 0 is none.
func (m *Machine) RecordStated(percent int, now time.Time) {
	if percent == 0 {
		return
	}
	m.speed.RecordStated(percent, now)
	m.checkSlowdown(now)
}

// relearnWhenWarm lets the service times be learned anew when the server is no longer
// cold.
func (m *Machine) relearnWhenWarm(now time.Time) {
	if m.speedHistory.cold && !m.held && !m.cold(now) {
		m.speedHistory.cold, m.speedHistory.warmSince = false, m.coldUntil
		m.speed.Relearn()
	}
}

// checkSlowdown hands back waiting requests when the server states that it has just become
// slow. What runs show is known only after they end, too late to be of use to those.
func (m *Machine) checkSlowdown(now time.Time) {
	h := &m.speedHistory
	slowdown := m.speed.Slowdown(now)
	if h.lowestSlowdown == 0 || slowdown < h.lowestSlowdown {
		h.lowestSlowdown = max(slowdown, 1)
	}
	if slowdown >= handBackRise*h.lowestSlowdown {
		h.lowestSlowdown = slowdown
		m.handBack(now)
	}
}

// handBack refuses the waiting requests that would miss their objective because the server
// has become slow, and would meet it at a server of usual speed with a queue as long as
// here. Requests with prior work stay, and so do nested calls that other gates refused: if no
// other gate took them, that work, or that of their runs, would be lost.
func (m *Machine) handBack(now time.Time) {
	if len(m.waiting) == 0 {
		return
	}
	m.sortWaiting()
	// Proof of NotRun: a waiting ticket was not started, and a refused one never is.
	m.refuseWaitingIf(func(t *Ticket, ahead int) bool {
		if t.request.HasPriorWork || t.expectedLate || t.request.Nested && t.request.AllowDelay {
			return false
		}
		class := t.request.Class
		finish := now.Add(m.turnoverWait(ahead, now) + m.expectedServiceTime(class, now))
		elsewhere := now.Add(handBackTransit + m.turnover(ahead, m.speed.MeanUsualTime()) + m.speed.UsualTime(class))
		return finish.After(t.request.Objective) && !elsewhere.After(t.request.Objective)
	}, now)
}

// turnoverWait estimates how long a request waits for a slot behind the running requests
// and a number of waiting ones.
func (m *Machine) turnoverWait(ahead int, now time.Time) time.Duration {
	return m.turnover(ahead, m.speed.MeanTime(now))
}

// turnover returns that wait for a mean service time.
func (m *Machine) turnover(ahead int, serviceTime time.Duration) time.Duration {
	concurrency := m.speed.Concurrency()
	busy := m.running + ahead - concurrency + 1
	if busy <= 0 {
		return 0
	}
	return time.Duration(busy) * serviceTime / time.Duration(concurrency)
}

// recordServiceTime records the time of a run that did not end by itself.
func (m *Machine) recordServiceTime(class string, elapsed time.Duration) {
	m.speed.RecordTime(class, elapsed)
}

// expectedServiceTime returns the expected time of a run of a class that starts now. It is
// 0 while no service time is known.
func (m *Machine) expectedServiceTime(class string, now time.Time) time.Duration {
	return m.speed.ExpectedTime(class, now)
}

// slowdownPercent returns the slowdown as it is reported to entries.
func (m *Machine) slowdownPercent(now time.Time) int {
	return max(int(math.Round(m.speed.Slowdown(now)*serverspeed.UsualPercent)), 1)
}

// limitedConcurrency returns the concurrency that the server handles well if it is below
// its slots, and otherwise 0.
func (m *Machine) limitedConcurrency() int {
	if concurrency := m.speed.Concurrency(); concurrency < m.slots {
		return concurrency
	}
	return 0
}
