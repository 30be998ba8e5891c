package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// report is the JSON result of a run.
type report struct {
	Experiment string    `json:"experiment"`
	Command    string    `json:"command"`
	Seed       uint64    `json:"seed"`
	Started    time.Time `json:"started"`
	Seconds    float64   `json:"seconds"`
	Cores      int       `json:"cores"`
	// LoadBefore and LoadAfter are the machine's load averages over 1 minute.
	LoadBefore string  `json:"loadAverageBefore"`
	LoadAfter  string  `json:"loadAverageAfter"`
	Outcome    outcome `json:"outcome"`
	Broken     int     `json:"brokenPromisesTotal"`
}

// measure runs an experiment and notes under what conditions.
func measure(ctx context.Context, name string, b *bench, run runner) (*report, error) {
	r := &report{
		Experiment: name, Command: "go run ./bench " + strings.Join(os.Args[1:], " "),
		Seed: b.seed, Started: time.Now(), Cores: runtime.NumCPU(), LoadBefore: loadAverage(),
	}
	out, err := run(ctx, b)
	if err == nil && ctx.Err() != nil {
		err = eris.Wrap(ctx.Err(), "the run was ended early")
	}
	if err != nil {
		return nil, err
	}
	r.Seconds = time.Since(r.Started).Seconds()
	r.LoadAfter = loadAverage()
	r.Outcome, r.Broken = out, out.broken()
	return r, nil
}

// loadAverage returns the machine's load over the last minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// publish writes the result where the flags say. It returns errBroken when a
// promise was broken.
func (r *report) publish(jsonFile, plotFile string) error {
	if jsonFile != "-" {
		r.table(os.Stdout)
	}
	if err := r.writeJSON(jsonFile); err != nil {
		return err
	}
	if p, ok := r.Outcome.(charted); ok && plotFile != "" {
		if err := p.chart().save(plotFile); err != nil {
			return err
		}
	}
	if r.Broken > 0 {
		return eris.Wrapf(errBroken, "%d times", r.Broken)
	}
	return nil
}

func (r *report) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: seed %d, %.0f s, load average %s before and %s after on %d cores\n",
		r.Experiment, r.Seed, r.Seconds, r.LoadBefore, r.LoadAfter, r.Cores)
	r.Outcome.table(w)
	_, _ = fmt.Fprintf(w, "broken promises: %d\n", r.Broken)
}

func (r *report) writeJSON(path string) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	data = append(data, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "write result")
}
