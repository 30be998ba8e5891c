package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"boragefall/internal/telemetry"
)

// errBroken reports a broken promise.
var errBroken = eris.New("a promise was broken")

// experiment is one measurement by name.
type experiment struct {
	name, about string
	// bound is the longest run time with the default flags.
	bound time.Duration
	// prepare adds the experiment's flags and returns what runs it.
	prepare func(flags *flag.FlagSet) runner
}

// runner runs an experiment whose flags were parsed.
type runner func(ctx context.Context, b *bench) (outcome, error)

// outcome is what an experiment found; it is written as JSON as it stands.
type outcome interface {
	// table writes a short table for people.
	table(w io.Writer)
	// broken returns the product's broken promises.
	broken() int
}

// charted is an outcome that has curves.
type charted interface {
	chart() chart
}

// bench is what every experiment is given.
type bench struct {
	seed   uint64
	logger *log.Logger
}

// progress tells the person who waits.
func (b *bench) progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s bench: %s\n", time.Now().Format(time.TimeOnly), fmt.Sprintf(format, args...))
}

func experiments() []experiment {
	return []experiment{
		dcMoveExperiment(),
		convergenceExperiment(),
		overheadExperiment(),
		controlBytesExperiment(),
		footprintExperiment(),
		coldStartExperiment(),
		retryStormExperiment(),
		poisonExperiment(),
		restartHerdExperiment(),
		sourceOutageExperiment(),
		partitionExperiment(),
	}
}

func (e experiment) command() *ffcli.Command {
	flags := flag.NewFlagSet(e.name, flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the callers' and operators' choices")
	jsonFile := flags.String("json", "", "`file` for the JSON result, - for standard output")
	plotFile := flags.String("plot", "", "SVG `file` for the curves")
	logLevel := flags.String("log-level", "error", "`level` of the nodes' logs")
	bound := flags.Duration("bound", e.bound, "longest run `time`")
	profile := flags.String("cpu-profile", "", "`file` for a CPU profile of this process")
	run := e.prepare(flags)
	return &ffcli.Command{
		Name:       e.name,
		ShortUsage: "bench " + e.name + " [flags]",
		ShortHelp:  e.about,
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, *bound)
			defer cancel()
			stop, err := startProfile(*profile)
			if err != nil {
				return err
			}
			defer stop()
			b := &bench{seed: *seed, logger: telemetry.NewLogger(*logLevel, os.Stderr)}
			r, err := measure(ctx, e.name, b, run)
			if err != nil {
				return err
			}
			return r.publish(*jsonFile, *plotFile)
		},
	}
}
