// Package bootclock reads a clock that only moves forward and that counts the time in
// which the host was suspended. Go's monotonic clock stops during a suspension, so a
// copy of the store would look younger than it is.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
