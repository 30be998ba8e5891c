package membership

import "time"

// PauseLimit is the gap between two ticks that counts as a pause.
const PauseLimit = time.Second

// PauseDetector notices that the process was paused: what it believes may
// have changed meanwhile. It is not safe for concurrent use.
type PauseDetector struct {
	paused func(gap time.Duration)
	last   time.Time
}

// NewPauseDetector returns a detector that calls paused with each gap over
// PauseLimit.
func NewPauseDetector(paused func(gap time.Duration)) *PauseDetector {
	return &PauseDetector{paused: paused}
}

// Tick notes the present time. Ticks come more often than PauseLimit. The time
// has to carry a monotonic reading, as time.Now gives it, so that a step of the
// clock is no pause.
func (d *PauseDetector) Tick(now time.Time) {
	last := d.last
	d.last = now
	if last.IsZero() {
		return
	}
	if gap := now.Sub(last); gap > PauseLimit {
		d.paused(gap)
	}
}
