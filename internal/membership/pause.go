package membership

import "time"

// PauseThreshold is the gap between two ticks that counts as a pause.
const PauseThreshold = time.Second

// PauseDetector notices that the process was paused: what it believes may
// have changed meanwhile. It is not safe for concurrent use.
type PauseDetector struct {
	onPause  func(gap time.Duration)
	lastTick time.Time
}

// NewPauseDetector returns a detector that calls onPause with each gap over
// PauseLimit.
func NewPauseDetector(onPause func(gap time.Duration)) *PauseDetector {
	return &PauseDetector{onPause: onPause}
}

// Tick notes the present time. Ticks come more often than PauseLimit. The time
// has to carry a monotonic reading, as time.Now gives it, so that a step of the
// clock is no pause.
func (d *PauseDetector) Tick(now time.Time) {
	previous := d.lastTick
	d.lastTick = now
	if previous.IsZero() {
		return
	}
	if gap := now.Sub(previous); gap > PauseThreshold {
		d.onPause(gap)
	}
}
