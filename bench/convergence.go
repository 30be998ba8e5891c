package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"gonum.org/v1/plot/plotter"

	"boragefall/bench/baseline"
	"boragefall/internal/config"
	"boragefall/internal/telemetry"
	"boragefall/internal/workload"
)

// targetNodes is the size that slopes are carried on to.
const targetNodes = 1800

// convergeConfig is what the flags of convergence set.
type convergeConfig struct {
	sizes   sizes
	changes int
	gap     time.Duration
}

func convergenceExperiment() experiment {
	return experiment{
		name:  "convergence",
		about: "From publish to in force on every node, quiet and while a fifth restarts.",
		bound: 6 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &convergeConfig{sizes: sizes{10, 50, 200}}
			flags.Var(&cfg.sizes, "nodes", "`sizes` of the fleet, separated by commas")
			flags.IntVar(&cfg.changes, "changes", 15, "`number` of changes in each condition")
			flags.DurationVar(&cfg.gap, "gap", 700*time.Millisecond, "mean `time` between two changes")
			return func(ctx context.Context, b *bench) (outcome, error) { return runConvergence(ctx, b, *cfg) }
		},
	}
}

// convergeOutcome is the result of convergence.
type convergeOutcome struct {
	Sizes []convergeSize `json:"sizes"`
	// SlopeMs is the growth of the quiet p99 per node, between the least and
	// the largest size; TargetMs is the quiet p99 carried on to 1,800 nodes.
	SlopeMs   float64 `json:"quietP99MsPerNode"`
	TargetMs  float64 `json:"quietP99MsAt1800"`
	BusySlope float64 `json:"restartsP99MsPerNode"`
	BusyMs    float64 `json:"restartsP99MsAt1800"`
	Older     int     `json:"olderVersion"`
	Missed    int     `json:"notInForceInTime"`
}

// convergeSize is what one size of the fleet did.
type convergeSize struct {
	Nodes    int       `json:"nodes"`
	Quiet    quantiles `json:"quiet"`
	Stayed   quantiles `json:"restartsOfOthers"`
	Restart  quantiles `json:"restartedThemselves"`
	Polling  quantiles `json:"baselinePolling"`
	PollMs   int64     `json:"baselineIntervalMs"`
	Slow     quantiles `json:"baselinePollingEach10s"`
	Older    int       `json:"olderVersion"`
	Missed   int       `json:"notInForceInTime"`
	Reads    int64     `json:"sourceReads"`
	PollRead int64     `json:"baselineSourceReads"`
}

func runConvergence(ctx context.Context, b *bench, cfg convergeConfig) (outcome, error) {
	out := &convergeOutcome{}
	for _, n := range cfg.sizes {
		size, err := convergeAt(ctx, b, cfg, n)
		if err != nil {
			return nil, err
		}
		out.Sizes = append(out.Sizes, size)
		out.Older += size.Older
		out.Missed += size.Missed
	}
	first, last := out.Sizes[0], out.Sizes[len(out.Sizes)-1]
	out.SlopeMs, out.TargetMs = carryOn(first.Nodes, last.Nodes, first.Quiet.P99Ms, last.Quiet.P99Ms)
	out.BusySlope, out.BusyMs = carryOn(first.Nodes, last.Nodes, first.Stayed.P99Ms, last.Stayed.P99Ms)
	return out, nil
}

// carryOn returns the slope between two sizes and the value at the target size.
func carryOn(n1, n2 int, y1, y2 float64) (slope, atTarget float64) {
	if n1 == n2 {
		return 0, y2
	}
	slope = (y2 - y1) / float64(n2-n1)
	return slope, y2 + slope*float64(targetNodes-n2)
}

// converger measures one size.
type converger struct {
	bench  *bench
	cfg    convergeConfig
	fleet  *workload.Fleet
	random *rand.Rand
	count  int

	quiet, stayed, restarted *latencies
	missed                   int
}

func convergeAt(ctx context.Context, b *bench, cfg convergeConfig, n int) (convergeSize, error) {
	b.progress("%d nodes: starting", n)
	fleet, err := startIdle(ctx, n)
	if err != nil {
		return convergeSize{}, err
	}
	defer fleet.Close()
	c := &converger{
		bench: b, cfg: cfg, fleet: fleet, random: rand.New(rand.NewPCG(b.seed, uint64(n))),
		quiet: newLatencies(), stayed: newLatencies(), restarted: newLatencies(),
	}
	watch := fleet.WatchVersions(ctx)
	b.progress("%d nodes: %d changes while quiet", n, cfg.changes)
	for range cfg.changes {
		c.change(ctx, nil)
	}
	b.progress("%d nodes: %d changes while a fifth restarts", n, cfg.changes)
	for range cfg.changes {
		c.change(ctx, c.fifth())
	}
	size := convergeSize{
		Nodes: n, Quiet: c.quiet.quantiles(), Stayed: c.stayed.quantiles(),
		Restart: c.restarted.quantiles(), Missed: c.missed, Older: watch.Stop(),
	}
	size.Reads, _ = fleet.Platform.Reads()
	fleet.Close()
	return size, c.poll(ctx, &size)
}

// startIdle starts a fleet of so many nodes that gets no load.
func startIdle(ctx context.Context, n int) (*workload.Fleet, error) {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return nil, err
	}
	return workload.StartFleet(ctx, d.WithHosts(n), workload.FleetConfig{Logger: telemetry.Silent(), StartWarm: true})
}

// fifth draws a fifth of the members, at least one.
func (c *converger) fifth() []*workload.Member {
	order := c.random.Perm(len(c.fleet.Members))
	chosen := make([]*workload.Member, max(1, len(order)/5))
	for i := range chosen {
		chosen[i] = c.fleet.Members[order[i]]
	}
	return chosen
}

// convergeLimit is how long one change is waited for.
const convergeLimit = 20 * time.Second

// change publishes a version, with some members killed before and started
// after, and waits until it is in force everywhere.
func (c *converger) change(ctx context.Context, restart []*workload.Member) {
	pause(ctx, c.cfg.gap/2+time.Duration(c.random.Int64N(int64(c.cfg.gap))))
	for _, m := range restart {
		c.fleet.KillNode(m)
	}
	stayed := c.fleet.Running()
	c.count++
	since := time.Now()
	version := c.fleet.Touch(c.count)
	var work sync.WaitGroup
	for _, m := range restart {
		work.Go(func() {
			if err := c.fleet.StartNode(ctx, m); err != nil {
				c.bench.progress("%s did not start: %v", m.Listing.ID, err)
			}
		})
	}
	others := c.stayed
	if restart == nil {
		others = c.quiet
	}
	work.Go(func() { c.await(ctx, stayed, version, since, others) })
	work.Go(func() { c.await(ctx, restart, version, since, c.restarted) })
	work.Wait()
}

func (c *converger) await(ctx context.Context, members []*workload.Member, v config.Version, since time.Time, into *latencies) {
	times, _ := c.fleet.ConvergedAt(ctx, members, v, since, convergeLimit)
	into.add(times...)
	if len(times) < len(members) {
		c.bench.progress("%d of %d nodes lack version %s", len(members)-len(times), len(members), v)
		c.missed += len(members) - len(times)
	}
}

// Baseline: every node polls. A poll makes two listings and reads the host
// list; a change costs one value more.
const (
	readsPerPoll  = 3
	slowPoll      = 10 * time.Second
	readLimit     = 2000
	leastInterval = 500 * time.Millisecond
)

// pollInterval is the shortest that the read limit permits, but not under the
// least.
func pollInterval(nodes int) time.Duration {
	return max(leastInterval, time.Duration(nodes*readsPerPoll)*time.Second/readLimit)
}

// poll measures the baseline at the same size: polling as fast as the read
// limit permits, and every 10 s.
func (c *converger) poll(ctx context.Context, size *convergeSize) error {
	interval := pollInterval(size.Nodes)
	c.bench.progress("%d pollers, each every %v, and as many every %v", size.Nodes, interval, slowPoll)
	d := c.fleet.Deployment
	fleet, err := workload.StartFleet(ctx, d, workload.FleetConfig{Logger: telemetry.Silent(), WithoutNodes: true})
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fast, slow := newLatencies(), newLatencies()
	for _, side := range []struct {
		interval time.Duration
		into     *latencies
		changes  int
	}{{interval, fast, c.cfg.changes}, {slowPoll, slow, 1}} {
		pollers := startPollers(ctx, fleet, side.interval, size.Nodes)
		pause(ctx, side.interval+time.Second)
		for range side.changes {
			c.count++
			since := time.Now()
			side.into.add(pollersConverged(ctx, pollers, fleet.Touch(c.count), since)...)
		}
	}
	size.PollMs = interval.Milliseconds()
	size.Polling, size.Slow = fast.quantiles(), slow.quantiles()
	size.PollRead, _ = fleet.Platform.Reads()
	return nil
}

func startPollers(ctx context.Context, fleet *workload.Fleet, interval time.Duration, n int) []*baseline.Poller {
	pollers := make([]*baseline.Poller, n)
	for i := range pollers {
		pollers[i] = baseline.NewPoller(baseline.PollerConfig{URL: fleet.PlatformURL(), Interval: interval})
		go pollers[i].Run(ctx)
	}
	return pollers
}

// pollersConverged returns how long each poller took to a version.
func pollersConverged(ctx context.Context, pollers []*baseline.Poller, v config.Version, since time.Time) []time.Duration {
	var times []time.Duration
	done := make([]bool, len(pollers))
	for len(times) < len(pollers) && time.Since(since) < convergeLimit && ctx.Err() == nil {
		for i, p := range pollers {
			if !done[i] && !p.Version().Less(v) {
				done[i] = true
				times = append(times, time.Since(since))
			}
		}
		pause(ctx, time.Millisecond)
	}
	return times
}

func (o *convergeOutcome) broken() int {
	return o.Older + o.Missed
}

func (o *convergeOutcome) table(w io.Writer) {
	g := newGrid(w, "nodes", "condition", "samples", "p50 ms", "p99 ms", "max ms")
	for _, s := range o.Sizes {
		row := func(name string, q quantiles) {
			g.row(num(s.Nodes), name, num(q.Count), decimal(q.P50Ms), decimal(q.P99Ms), decimal(q.MaxMs))
		}
		row("quiet", s.Quiet)
		row("a fifth restarts: the others", s.Stayed)
		row("a fifth restarts: the restarted", s.Restart)
		row(fmt.Sprintf("baseline: poll each %d ms", s.PollMs), s.Polling)
		row("baseline: poll each 10 s", s.Slow)
	}
	g.flush()
	_, _ = fmt.Fprintf(w, "quiet p99: %.3f ms more per node, %.0f ms carried on to %d nodes; with restarts %.3f ms and %.0f ms\n",
		o.SlopeMs, o.TargetMs, targetNodes, o.BusySlope, o.BusyMs)
	_, _ = fmt.Fprintf(w, "older version applied: %d; not in force within %v: %d\n", o.Older, convergeLimit, o.Missed)
}

func (o *convergeOutcome) chart() chart {
	c := chart{title: "From publish to in force, p99", x: "nodes", y: "ms"}
	add := func(name string, of func(convergeSize) float64) {
		points := make(plotter.XYs, len(o.Sizes))
		for i, s := range o.Sizes {
			points[i] = plotter.XY{X: float64(s.Nodes), Y: of(s)}
		}
		c.curves = append(c.curves, curve{name: name, points: points})
	}
	add("quiet", func(s convergeSize) float64 { return s.Quiet.P99Ms })
	add("a fifth restarts", func(s convergeSize) float64 { return s.Stayed.P99Ms })
	add("baseline: polling", func(s convergeSize) float64 { return s.Polling.P99Ms })
	return c
}
