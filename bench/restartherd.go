package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"boragefall/bench/baseline"
	"boragefall/internal/workload"
)

// herdConfig is what the flags of restart-herd set.
type herdConfig struct {
	nodes     int
	survivors int
	watch     time.Duration
	limit     time.Duration
}

func restartHerdExperiment() experiment {
	return experiment{
		name:  "restart-herd",
		about: "All nodes or a half die at once and come back at once.",
		bound: 4 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &herdConfig{}
			flags.IntVar(&cfg.nodes, "nodes", 50, "`number` of nodes")
			flags.IntVar(&cfg.survivors, "survivors", 3, "`number` of nodes that live on while the source is down")
			flags.DurationVar(&cfg.watch, "watch", 5*time.Second, "`time` in which reads are counted, at least")
			flags.DurationVar(&cfg.limit, "limit", 40*time.Second, "longest `time` to wait for a node to be ready")
			return func(ctx context.Context, b *bench) (outcome, error) { return runHerd(ctx, b, *cfg) }
		},
	}
}

// herdOutcome is the result of restart-herd.
type herdOutcome struct {
	Nodes    int          `json:"nodes"`
	Restarts []herdResult `json:"restarts"`
	Older    int          `json:"olderVersion"`
}

// herdResult is one herd's restart.
type herdResult struct {
	Case      string    `json:"case"`
	Restarted int       `json:"restarted"`
	Ready     quantiles `json:"timeToReady"`
	NotReady  int       `json:"notReadyInTime"`
	PeakReads int64     `json:"peakReadsInOneSecond"`
	Reads     int64     `json:"reads"`
	Refused   int64     `json:"refusedReads"`
}

func runHerd(ctx context.Context, b *bench, cfg herdConfig) (outcome, error) {
	b.progress("starting %d nodes", cfg.nodes)
	fleet, err := startIdle(ctx, cfg.nodes)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	h := &herd{bench: b, cfg: cfg, fleet: fleet, random: rand.New(rand.NewPCG(b.seed, 0))}
	watch := fleet.WatchVersions(ctx)
	out := &herdOutcome{Nodes: cfg.nodes}
	out.Restarts = append(out.Restarts,
		h.restart(ctx, "a half, source up", cfg.nodes/2, false),
		h.restart(ctx, "all, source up", cfg.nodes, false),
		h.restart(ctx, fmt.Sprintf("all but %d, source down", cfg.survivors), cfg.nodes-cfg.survivors, true),
		h.pollers(ctx, fleet))
	out.Older = watch.Stop()
	return out, nil
}

// herd restarts members.
type herd struct {
	bench  *bench
	cfg    herdConfig
	fleet  *workload.Fleet
	random *rand.Rand
}

// restart kills so many nodes and starts them again at once.
func (h *herd) restart(ctx context.Context, name string, n int, outage bool) herdResult {
	h.bench.progress("%s: %d nodes", name, n)
	var chosen []*workload.Member
	for _, i := range h.random.Perm(len(h.fleet.Members))[:n] {
		chosen = append(chosen, h.fleet.Members[i])
	}
	h.fleet.Platform.SetOutage(outage)
	defer h.fleet.Platform.SetOutage(false)
	var work sync.WaitGroup
	for _, m := range chosen {
		work.Go(func() { h.fleet.KillNode(m) })
	}
	work.Wait()
	result := h.count(ctx, name, n, func(i int) bool {
		if err := h.fleet.StartNode(ctx, chosen[i]); err != nil {
			h.bench.progress("%s did not start: %v", chosen[i].Listing.ID, err)
			return false
		}
		return h.ready(ctx, chosen[i])
	})
	return result
}

const herdPoll = 5 * time.Millisecond

func (h *herd) ready(ctx context.Context, m *workload.Member) bool {
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < h.cfg.limit {
		if m.Node().Status().Ready {
			return true
		}
		pause(ctx, herdPoll)
	}
	return false
}

// count starts all at once and counts the reads meanwhile.
func (h *herd) count(ctx context.Context, name string, n int, start func(i int) bool) herdResult {
	result := herdResult{Case: name, Restarted: n}
	took := newLatencies()
	counter := startReadCounter(h.fleet)
	var mu sync.Mutex
	var work sync.WaitGroup
	since := time.Now()
	for i := range n {
		work.Go(func() {
			ok := start(i)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				took.add(time.Since(since))
			} else {
				result.NotReady++
			}
		})
	}
	work.Wait()
	pause(ctx, h.cfg.watch-time.Since(since))
	result.Ready = took.quantiles()
	result.PeakReads, result.Reads, result.Refused = counter.stop()
	return result
}

// pollers measures the baseline: every node reads all it needs at its start,
// again after a failure, at once.
func (h *herd) pollers(ctx context.Context, fleet *workload.Fleet) herdResult {
	for _, m := range fleet.Members {
		fleet.KillNode(m)
	}
	h.bench.progress("baseline: %d pollers", h.cfg.nodes)
	return h.count(ctx, "baseline: all read directly", h.cfg.nodes, func(int) bool {
		p := baseline.NewPoller(baseline.PollerConfig{URL: fleet.PlatformURL(), Interval: time.Second})
		started := time.Now()
		for ctx.Err() == nil && time.Since(started) < h.cfg.limit {
			if p.Poll(ctx) == nil {
				return true
			}
		}
		return false
	})
}

// readCounter finds the second with the most reads of the source.
type readCounter struct {
	fleet          *workload.Fleet
	taken, refused int64
	done           chan struct{}
	work           sync.WaitGroup
	peak           int64
}

const (
	readSample = 50 * time.Millisecond
	readWindow = int(time.Second / readSample)
)

func startReadCounter(fleet *workload.Fleet) *readCounter {
	c := &readCounter{fleet: fleet, done: make(chan struct{})}
	c.taken, c.refused = fleet.Platform.Reads()
	c.work.Go(c.run)
	return c
}

func (c *readCounter) run() {
	samples := []int64{c.calls()}
	ticker := time.NewTicker(readSample)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.done:
			return
		}
		samples = append(samples, c.calls())
		last := len(samples) - 1
		c.peak = max(c.peak, samples[last]-samples[max(0, last-readWindow)])
	}
}

// calls returns the calls so far, those over the limit too.
func (c *readCounter) calls() int64 {
	taken, refused := c.fleet.Platform.Reads()
	return taken + refused
}

func (c *readCounter) stop() (peak, reads, refused int64) {
	close(c.done)
	c.work.Wait()
	taken, over := c.fleet.Platform.Reads()
	return c.peak, taken - c.taken, over - c.refused
}

func (o *herdOutcome) broken() int {
	return o.Older
}

func (o *herdOutcome) table(w io.Writer) {
	g := newGrid(w, "case", "restarted", "ready", "p50 ms", "max ms", "not ready", "peak reads/s", "reads", "refused")
	for _, r := range o.Restarts {
		g.row(r.Case, num(r.Restarted), num(r.Ready.Count), decimal(r.Ready.P50Ms), decimal(r.Ready.MaxMs),
			num(r.NotReady), num(r.PeakReads), num(r.Reads), num(r.Refused))
	}
	g.flush()
	_, _ = fmt.Fprintf(w, "older version applied: %d\n", o.Older)
}
