package membership

import "time"

// PauseThreshold is the gap between two ticks above which the process counts as paused.
const PauseThreshold = time.Second

// PauseDetector detects that the process was paused, since its state may be out of date
// afterwards. It is not safe for concurrent use.
type PauseDetector struct {
	onPause  func(gap time.Duration)
	lastTick time.Time
}

// NewPauseDetector returns a detector that calls onPause with each gap over
// PauseThreshold.
func NewPauseDetector(onPause func(gap time.Duration)) *PauseDetector {
	return &PauseDetector{onPause: onPause}
}

// Tick records the current time. It must be called at intervals shorter than
// PauseThreshold. The time must carry a monotonic clock reading, as time.Now returns it, so
// that a step of the wall clock is not taken for a pause.
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
