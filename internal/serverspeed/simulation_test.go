package serverspeed

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

var start = time.Unix(1000, 0)

// simulatedServer is a server of which runs are simulated in virtual time.
type simulatedServer struct {
	slots int
	// work is the mean time of a run, and rate the number of requests a second.
	work time.Duration
	rate float64
	// slower returns how much longer work takes with a number of running requests.
	slower func(running int, now time.Time) float64
	random *rand.Rand
}

type simulatedRun struct {
	left        time.Duration
	startedAt   time.Time
	concurrency int
	class       string
	progress    float64
}

const simulationStep = time.Millisecond

// simulate runs a server until its end. It returns the number of completed runs and calls
// observe every 100 ms.
func (s *simulatedServer) simulate(e *Estimator, from time.Time, length time.Duration, observe func(now time.Time, running int)) (completed int) {
	var running []*simulatedRun
	waiting := 0
	for now := from; now.Before(from.Add(length)); now = now.Add(simulationStep) {
		slower := s.slower(len(running), now)
		for _, r := range running {
			r.left -= time.Duration(float64(simulationStep) / slower)
		}
		before := len(running)
		running = slices.DeleteFunc(running, func(r *simulatedRun) bool {
			if r.left > 0 {
				return false
			}
			completed++
			e.RecordRun(Run{Class: r.class, Took: now.Sub(r.startedAt), Concurrency: float64(r.concurrency+before) / 2}, now)
			return true
		})
		if s.random.Float64() < s.rate*simulationStep.Seconds() && waiting < 2*s.slots {
			waiting++
		}
		for waiting > 0 && len(running) < e.Permitted(now) {
			waiting--
			running = append(running, &simulatedRun{startedAt: now, left: s.sample(), concurrency: len(running) + 1})
		}
		if observe != nil && now.Sub(from)%(100*time.Millisecond) == 0 {
			observe(now, len(running))
		}
	}
	return completed
}

// sample draws a time around the mean, with one in a hundred five times as long.
func (s *simulatedServer) sample() time.Duration {
	const sigma = 0.3
	x := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	if s.random.Float64() < 0.01 {
		x *= 5
	}
	return time.Duration(x * float64(s.work))
}
