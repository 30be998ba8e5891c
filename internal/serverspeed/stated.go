package serverspeed

import "time"

const (
	// minStatedPercent and maxStatedPercent bound the slowdowns that a server may state.
	// Others are errors: nothing works 10 times faster than usual, and a server that is
	// 100 times slower serves nothing on time anyway.
	minStatedPercent, maxStatedPercent = 10, 10_000
	// statedHold is the age up to which a statement holds: busy servers answer many times
	// in it. statedDecay is the time constant with which an older one is forgotten, so
	// that little of it is left after a second: slow periods last 0.6 s.
	statedHold, statedDecay = 150 * time.Millisecond, 300 * time.Millisecond
	// statedTTL is the age from which the speed is learned from runs again.
	statedTTL = 2 * time.Second
)

// statedSpeed is the slowdown that the server states.
type statedSpeed struct {
	factor float64
	at     time.Time
	// progress is the integral of the speed until advancedTo, in seconds.
	progress   float64
	advancedTo time.Time
}

func (s *statedSpeed) record(factor float64, now time.Time) {
	s.advance(now)
	s.factor, s.at = factor, now
}

// current reports whether the server has stated a slowdown lately.
func (s *statedSpeed) current(now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.at) < statedTTL
}

// valueAt returns the slowdown at a time, which fades to 1 after the last statement.
func (s *statedSpeed) valueAt(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return 1 + (s.factor-1)*fade(now.Sub(s.at), statedHold, statedDecay)
}

// advance adds the work done since the last call.
func (s *statedSpeed) advance(now time.Time) {
	if elapsed := now.Sub(s.advancedTo); elapsed > 0 {
		if !s.advancedTo.IsZero() {
			mean := (1/s.valueAt(s.advancedTo) + 1/s.valueAt(now)) / 2
			s.progress += elapsed.Seconds() * mean
		}
		s.advancedTo = now
	}
}
