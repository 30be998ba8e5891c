package cli

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/telemetry"
	"boragefall/internal/workload"
)

const (
	defaultDemoFor  = 10 * time.Second
	defaultDemoRate = 300
)

func demoCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("demo", streams)
	deployment := flags.String("deployment", "fyrnet", "`name` of the deployment: fyrnet or anilla-sur")
	duration := flags.Duration("for", defaultDemoFor, "`time` under load")
	rate := flags.Float64("rate", defaultDemoRate, "`operations` a second")
	logLevel := flags.String("log-level", "error", "`level` of the nodes' logs")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: programName + " demo [--deployment fyrnet|anilla-sur] [--for 10s] [--json]",
		ShortHelp:  "Run stand-ins, nodes and load in one process, with a data centre taken out and back.",
		LongHelp: examples("Exit code 1 means that a promise was broken.",
			programName+" demo",
			programName+" demo --deployment anilla-sur --for 20s --json"),
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			d, err := workload.Named(*deployment)
			if err != nil {
				return Usage("--deployment holds %q; it takes fyrnet or anilla-sur", *deployment)
			}
			cfg := workload.DemoConfig{
				Fleet:    workload.FleetConfig{Logger: telemetry.NewLogger(*logLevel, streams.Err)},
				For:      *duration,
				Rate:     *rate,
				Progress: func(text string) { printLine(streams.Err, "demo: %s", text) },
			}
			result, err := workload.Demo(ctx, d, cfg)
			if err != nil {
				return &ExitError{Code: ExitNo, Err: err}
			}
			return showDemo(streams, result, *asJSON)
		},
	}
}

func showDemo(streams Streams, r workload.DemoResult, asJSON bool) error {
	if asJSON {
		if err := printJSON(streams.Out, r); err != nil {
			return err
		}
	} else {
		printDemo(streams, r)
	}
	if r.BrokenTotal > 0 {
		return No()
	}
	return nil
}

func printDemo(streams Streams, r workload.DemoResult) {
	printLine(streams.Out, "%s: %d nodes, %.1f s, %d operations, %d good, %d tries", r.Deployment, r.Nodes, r.Seconds, r.Result.Operations, r.Result.Good, r.Result.Tries)
	for name, k := range r.Result.Kinds {
		printLine(streams.Out, "  %-12s %5d good of %5d, p50 %.2f ms, p99 %.2f ms, failed %v", name, k.Good, k.Operations, k.P50Ms, k.P99Ms, k.Failed)
	}
	printLine(streams.Out, "  convergence of each version: %v ms", r.ConvergenceMs)
	printLine(streams.Out, "  control traffic: %.0f bytes a second and node; %d reads of the source", r.ControlPerNode, r.SourceReads)
	printLine(streams.Out, "  %s taken out: last new work after %d ms", r.OutDataCentre, r.LastWorkAfterMs)
	mark := markFine
	if r.BrokenTotal > 0 {
		mark = markWrong
	}
	printLine(streams.Out, "%s broken promises: %d %+v", mark, r.BrokenTotal, r.Broken)
}
