package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot/plotter"

	"boragefall/internal/link"
	"boragefall/internal/telemetry"
	"boragefall/internal/workload"
)

// targetControlBytes is what a node may spend on control, in bytes a second.
const targetControlBytes = 7000

// bytesConfig is what the flags of control-bytes set.
type bytesConfig struct {
	sizes   sizes
	settle  time.Duration
	window  time.Duration
	changes int
	every   time.Duration
}

func controlBytesExperiment() experiment {
	return experiment{
		name:  "control-bytes",
		about: "Control traffic per node and second, quiet and with changes.",
		bound: 6 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &bytesConfig{sizes: sizes{10, 50, 200}}
			flags.Var(&cfg.sizes, "nodes", "`sizes` of the fleet, separated by commas")
			flags.DurationVar(&cfg.settle, "settle", 10*time.Second, "`time` before the first measurement")
			flags.DurationVar(&cfg.window, "window", 20*time.Second, "`length` of the quiet measurement")
			flags.IntVar(&cfg.changes, "changes", 2, "`number` of changes")
			flags.DurationVar(&cfg.every, "every", 17*time.Second, "`time` between two changes")
			return func(ctx context.Context, b *bench) (outcome, error) { return runBytes(ctx, b, *cfg) }
		},
	}
}

// bytesOutcome is the result of control-bytes.
type bytesOutcome struct {
	Sizes []bytesSize `json:"sizes"`
	// SentSlope is the growth of bytes sent with changes, per node of the
	// fleet; SentAt1800 is that carried on to 1,800 nodes.
	SentSlope  float64 `json:"sentPerNode"`
	SentAt1800 float64 `json:"sentAt1800"`
}

// bytesSize is what one size of the fleet spent, in bytes a second and node.
type bytesSize struct {
	Nodes    int       `json:"nodes"`
	Quiet    byteRates `json:"quiet"`
	Changing byteRates `json:"withChanges"`
	Polling  float64   `json:"baselinePollingSource"`
	PollMs   int64     `json:"baselineIntervalMs"`
}

// byteRates are bytes a second and node.
type byteRates struct {
	Sent     float64 `json:"sent"`
	MaxSent  float64 `json:"sentByTheBusiest"`
	Received float64 `json:"received"`
	// Source is the traffic with the source, both ways.
	Source float64 `json:"source"`
	// Reads are calls of the source a second, of all nodes together.
	Reads float64 `json:"sourceReadsPerSecondOfAll"`
}

func runBytes(ctx context.Context, b *bench, cfg bytesConfig) (outcome, error) {
	out := &bytesOutcome{}
	for _, n := range cfg.sizes {
		size, err := bytesAt(ctx, b, cfg, n)
		if err != nil {
			return nil, err
		}
		out.Sizes = append(out.Sizes, size)
	}
	first, last := out.Sizes[0], out.Sizes[len(out.Sizes)-1]
	out.SentSlope, out.SentAt1800 = carryOn(first.Nodes, last.Nodes, first.Changing.Sent, last.Changing.Sent)
	return out, nil
}

func bytesAt(ctx context.Context, b *bench, cfg bytesConfig, n int) (bytesSize, error) {
	b.progress("%d nodes: starting", n)
	fleet, err := startIdle(ctx, n)
	if err != nil {
		return bytesSize{}, err
	}
	defer fleet.Close()
	pause(ctx, cfg.settle)
	size := bytesSize{Nodes: n}
	b.progress("%d nodes: quiet", n)
	size.Quiet = spent(fleet, func() { pause(ctx, cfg.window) })
	b.progress("%d nodes: %d changes, one each %v", n, cfg.changes, cfg.every)
	size.Changing = spent(fleet, func() {
		for i := range cfg.changes {
			fleet.Touch(i + 1)
			pause(ctx, cfg.every)
		}
	})
	fleet.Close()
	return size, pollBytes(ctx, cfg, &size)
}

// pollBytes measures what polling costs at the same size.
func pollBytes(ctx context.Context, cfg bytesConfig, size *bytesSize) error {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return err
	}
	fleet, err := workload.StartFleet(ctx, d, workload.FleetConfig{Logger: telemetry.Silent(), WithoutNodes: true})
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := pollInterval(size.Nodes)
	startPollers(ctx, fleet, interval, size.Nodes)
	pause(ctx, 2*interval)
	rates := spent(fleet, func() { pause(ctx, cfg.settle) })
	size.PollMs = interval.Milliseconds()
	size.Polling = rates.Source * float64(len(fleet.Members)) / float64(size.Nodes)
	return nil
}

// spent measures the bytes of a while.
func spent(fleet *workload.Fleet, while func()) byteRates {
	type counts struct{ sent, received int64 }
	read := func() []counts {
		out := make([]counts, len(fleet.Members))
		for i, m := range fleet.Members {
			if n := m.Node(); n != nil {
				out[i] = counts{n.Counter().Sent(link.ClassControl), n.Counter().Received(link.ClassControl)}
			}
		}
		return out
	}
	before, source := read(), fleet.SourceBytes()
	reads, _ := fleet.Platform.Reads()
	started := time.Now()
	while()
	seconds := time.Since(started).Seconds()
	nodes := float64(len(fleet.Members))
	r := byteRates{Source: float64(fleet.SourceBytes()-source) / seconds / nodes}
	readsAfter, _ := fleet.Platform.Reads()
	r.Reads = float64(readsAfter-reads) / seconds
	for i, after := range read() {
		sent := float64(after.sent-before[i].sent) / seconds
		r.Sent += sent / nodes
		r.MaxSent = max(r.MaxSent, sent)
		r.Received += float64(after.received-before[i].received) / seconds / nodes
	}
	return r
}

func (o *bytesOutcome) broken() int {
	return 0
}

func (o *bytesOutcome) table(w io.Writer) {
	g := newGrid(w, "nodes", "condition", "sent B/s", "busiest", "received B/s", "source B/s", "source reads/s of all")
	whole := func(x float64) string { return fmt.Sprintf("%.0f", x) }
	for _, s := range o.Sizes {
		row := func(name string, r byteRates) {
			g.row(num(s.Nodes), name, whole(r.Sent), whole(r.MaxSent), whole(r.Received), whole(r.Source), decimal(r.Reads))
		}
		row("quiet", s.Quiet)
		row("with changes", s.Changing)
		g.row(num(s.Nodes), fmt.Sprintf("baseline: poll each %d ms", s.PollMs), "-", "-", "-", whole(s.Polling), "-")
	}
	g.flush()
	_, _ = fmt.Fprintf(w, "sent with changes: %.2f B/s more per node of the fleet, %.0f B/s carried on to %d nodes; aim %d B/s\n",
		o.SentSlope, o.SentAt1800, targetNodes, targetControlBytes)
}

func (o *bytesOutcome) chart() chart {
	c := chart{title: "Control bytes sent, per node and second", x: "nodes", y: "bytes/s"}
	add := func(name string, of func(bytesSize) float64) {
		points := make(plotter.XYs, len(o.Sizes))
		for i, s := range o.Sizes {
			points[i] = plotter.XY{X: float64(s.Nodes), Y: of(s)}
		}
		c.curves = append(c.curves, curve{name: name, points: points})
	}
	add("quiet", func(s bytesSize) float64 { return s.Quiet.Sent })
	add("with changes", func(s bytesSize) float64 { return s.Changing.Sent })
	add("baseline: polling the source", func(s bytesSize) float64 { return s.Polling })
	return c
}
