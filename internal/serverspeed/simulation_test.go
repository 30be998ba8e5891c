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
	// work is the mean time of a run, and rate the number of requests a second.
	work time.Duration
	rate float64
	// slower returns how much longer work takes with a number of running requests.
	slower func(running int) float64
	random *rand.Rand
}

type simulatedRun struct {
	left        time.Duration
	startedAt   time.Time
	concurrency int
}

// simulate runs a server with up to as many requests as are permitted. It returns the
// number of completed runs.
func (s *simulatedServer) simulate(e *Estimator, length time.Duration, permitted func(time.Time) int) (completed int) {
	const step, maxWaiting = time.Millisecond, 28
	var running []*simulatedRun
	waiting := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		before := len(running)
		for _, r := range running {
			r.left -= time.Duration(float64(step) / s.slower(before))
		}
		running = slices.DeleteFunc(running, func(r *simulatedRun) bool {
			if r.left > 0 {
				return false
			}
			completed++
			e.RecordRun(Run{Class: "read", Took: now.Sub(r.startedAt), Concurrency: float64(r.concurrency+before) / 2}, now)
			return true
		})
		if s.random.Float64() < s.rate*step.Seconds() && waiting < maxWaiting {
			waiting++
		}
		for waiting > 0 && len(running) < permitted(now) {
			waiting--
			running = append(running, &simulatedRun{startedAt: now, left: s.sample(), concurrency: len(running) + 1})
		}
	}
	return completed
}

// sample draws a time around the mean, with one in a hundred five times as long.
func (s *simulatedServer) sample() time.Duration {
	const sigma, tail, tailFactor = 0.3, 0.01, 5
	x := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	if s.random.Float64() < tail {
		x *= tailFactor
	}
	return time.Duration(x * float64(s.work))
}
