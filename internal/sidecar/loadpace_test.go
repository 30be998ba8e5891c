package sidecar

import (
	"context"
	"math"
	"time"

	"boragefall/internal/protocol"
)

// loadPace is how the speed of a simulated server changes.
type loadPace struct {
	// slowed holds the times at which the server becomes slow and usual again in turn, and
	// factor is how much longer work takes in between.
	slowed []time.Time
	factor float64
	// states reports that the server states its slowdown.
	states bool
	// kneeShare is the share of the slots up to which requests do not slow each other
	// down, and fullFactor how much longer work takes with all slots taken.
	kneeShare, fullFactor float64
}

// paceStep is the time for which the speed of a server is taken to be constant.
const paceStep = 5 * time.Millisecond

// slowPeriods makes a share of the time slow, in periods of a length.
func (w *loadSimulation) slowPeriods(share float64, length, until time.Duration) (times []time.Time) {
	at, end := time.Now(), time.Now().Add(until)
	for at.Before(end) {
		pause := -math.Log(1-w.random.float()) * length.Seconds() * (1 - share) / share
		at = at.Add(time.Duration(pause * float64(time.Second)))
		times = append(times, at, at.Add(length))
		at = at.Add(length)
	}
	return times
}

func (p *loadPace) slowdown(now time.Time) float64 {
	slow := false
	for _, at := range p.slowed {
		if now.Before(at) {
			break
		}
		slow = !slow
	}
	if slow {
		return p.factor
	}
	return 1
}

// load is what the server states of its load; a nil pace states nothing.
func (p *loadPace) load(now time.Time) protocol.ServerLoad {
	if p == nil || !p.states {
		return protocol.ServerLoad{}
	}
	return protocol.ServerLoad{Stated: true, Slowdown: int(100 * p.slowdown(now))}
}

// work takes as long as the server needs for work of a length at usual speed.
func (n *loadNode) work(ctx context.Context, length time.Duration) {
	if n.pace == nil {
		sleepContext(ctx, length)
		return
	}
	for length > 0 && ctx.Err() == nil {
		n.mu.Lock()
		busy := float64(n.running) / float64(n.slots)
		n.mu.Unlock()
		factor := n.pace.slowdown(time.Now())
		if n.pace.fullFactor > 0 {
			factor *= 1 + (n.pace.fullFactor-1)*max(busy-n.pace.kneeShare, 0)/(1-n.pace.kneeShare)
		}
		step := min(length, time.Duration(float64(paceStep)/factor))
		sleepContext(ctx, time.Duration(float64(step)*factor))
		length -= step
	}
}
