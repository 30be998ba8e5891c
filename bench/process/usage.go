package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is what a process has used.
type Usage struct {
	// CPU is the processor time in user and kernel mode.
	CPU time.Duration
	// RSSBytes and PeakBytes are the resident memory now and at most.
	RSSBytes, PeakBytes int64
}

// ticksPerSecond is the unit of /proc/PID/stat on Linux.
const ticksPerSecond = 100

// Positions in /proc/PID/stat after the command's name, from 0.
const (
	statUser   = 11
	statKernel = 12
)

// Usage reads what the process has used so far from /proc.
func (p *Process) Usage() (Usage, error) {
	return UsageOf(p.PID())
}

// UsageOf reads what a process has used so far from /proc.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read usage")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read usage")
	}
	u := Usage{CPU: cpuTime(string(stat))}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "VmRSS:"):
			u.RSSBytes = kilobytes(fields)
		case strings.HasPrefix(line, "VmHWM:"):
			u.PeakBytes = kilobytes(fields)
		}
	}
	return u, nil
}

func cpuTime(stat string) time.Duration {
	_, after, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(after)
	if len(fields) <= statKernel {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUser], 10, 64)
	kernel, _ := strconv.ParseInt(fields[statKernel], 10, 64)
	return time.Duration(user+kernel) * time.Second / ticksPerSecond
}

// kilobytes reads a line such as "VmRSS: 1234 kB" as bytes.
func kilobytes(fields []string) int64 {
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[1], 10, 64)
	return n << 10
}
