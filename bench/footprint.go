package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"

	"boragefall/bench/process"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/standin"
	"boragefall/internal/workload"
)

// footprintConfig is what the flags of footprint set.
type footprintConfig struct {
	sizes  sizes
	settle time.Duration
	window time.Duration
	rate   int
}

func footprintExperiment() experiment {
	return experiment{
		name:  "footprint",
		about: "Processor time, memory and control bytes of real node processes.",
		bound: 8 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &footprintConfig{sizes: sizes{10, 25, 50}}
			flags.Var(&cfg.sizes, "nodes", "`sizes` of the fleet, separated by commas")
			flags.DurationVar(&cfg.settle, "settle", 10*time.Second, "`time` before the measurement")
			flags.DurationVar(&cfg.window, "window", 20*time.Second, "`length` of the measurement")
			flags.IntVar(&cfg.rate, "rate", 160, "`calls` a second at each loaded node")
			return func(ctx context.Context, b *bench) (outcome, error) { return runFootprint(ctx, b, *cfg) }
		},
	}
}

// footprintOutcome is the result of footprint.
type footprintOutcome struct {
	Sizes []footprintSize `json:"sizes"`
	Load  footprintLoad   `json:"load"`
	// Slopes are growths per node of the fleet between the least and the
	// largest size, At1800 is the last size carried on.
	Slopes footprintSize `json:"slopesPerNode"`
	At1800 footprintSize `json:"at1800"`
}

// footprintSize is what a node takes in a fleet of a size, without load.
type footprintSize struct {
	Nodes int `json:"nodes"`
	// CPUPercent is the mean processor time, in percent of a core.
	CPUPercent float64 `json:"cpuPercentOfCore"`
	// RSSMB and MaxRSSMB are the mean and largest resident memory.
	RSSMB    float64 `json:"rssMB"`
	MaxRSSMB float64 `json:"maxRSSMB"`
	// SentBytes and GotBytes are control bytes a second.
	SentBytes float64 `json:"controlSentPerSecond"`
	GotBytes  float64 `json:"controlReceivedPerSecond"`
}

// footprintLoad is what calls cost at the least size.
type footprintLoad struct {
	Entries       int            `json:"entries"`
	Rate          int            `json:"callsPerSecondEach"`
	Calls         int64          `json:"calls"`
	Failed        map[string]int `json:"failed"`
	MicrosPerCall float64        `json:"cpuMicrosPerCall"`
	RSSMB         float64        `json:"rssMB"`
	Took          quantiles      `json:"took"`
}

func runFootprint(ctx context.Context, b *bench, cfg footprintConfig) (outcome, error) {
	folder, err := os.MkdirTemp("", "boragefall-bench-")
	if err != nil {
		return nil, eris.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	b.progress("building")
	binary, err := process.BuildBinary(ctx, folder)
	if err != nil {
		return nil, err
	}
	out := &footprintOutcome{}
	for i, n := range cfg.sizes {
		f := &footprint{bench: b, cfg: cfg, folder: folder, binary: binary}
		if err := f.measure(ctx, out, n, i == 0); err != nil {
			return nil, err
		}
	}
	out.slopes()
	return out, nil
}

// footprint measures one size.
type footprint struct {
	bench          *bench
	cfg            footprintConfig
	folder, binary string

	fleet   *process.Fleet
	servers []*standin.Server
}

func (f *footprint) measure(ctx context.Context, out *footprintOutcome, n int, loaded bool) error {
	f.bench.progress("%d processes: starting", n)
	defer f.close()
	if err := f.start(ctx, n); err != nil {
		return err
	}
	pause(ctx, f.cfg.settle)
	f.bench.progress("%d processes: measuring", n)
	size, err := f.quiet(ctx)
	if err != nil {
		return err
	}
	out.Sizes = append(out.Sizes, size)
	f.bench.progress("%+v", size)
	if !loaded {
		return ctx.Err()
	}
	out.Load, err = f.load(ctx, size.CPUPercent)
	return err
}

func (f *footprint) start(ctx context.Context, n int) error {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return err
	}
	d = d.WithHosts(n)
	if f.fleet, err = process.NewFleet(f.binary, f.folder, d); err != nil {
		return err
	}
	record := standin.NewRecord()
	for _, size := range d.Services {
		for i := range size.Hosts {
			if err := f.addHost(d, size, i, record); err != nil {
				return err
			}
		}
	}
	return f.fleet.Start(ctx)
}

func (f *footprint) addHost(d workload.Deployment, size workload.ServiceSize, i int, record *standin.Record) error {
	place := datacentre.Place{Region: d.Region, DataCentre: d.DataCentres[i%len(d.DataCentres)]}
	id := host.ID(fmt.Sprintf("%s-%s-%d", place.DataCentre, size.Name, i+1))
	server, err := standin.NewServer(standin.ServerConfig{Host: id, StartWarm: true, ExactWorkTime: true}, record)
	if err != nil {
		return eris.Wrap(err, "start server")
	}
	f.servers = append(f.servers, server)
	return f.fleet.Add(host.Listing{ID: id, Place: place, Service: size.Name}, server.Address())
}

func (f *footprint) close() {
	if f.fleet != nil {
		f.fleet.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// reading is the sum over all nodes at a moment.
type reading struct {
	cpu       time.Duration
	rss, most int64
	sent, got int64
}

func (f *footprint) read(ctx context.Context) (reading, error) {
	var sum reading
	for _, n := range f.fleet.Nodes {
		usage, err := n.Usage()
		if err != nil {
			return sum, err
		}
		status, err := n.Status(ctx)
		if err != nil {
			return sum, err
		}
		sum.cpu += usage.CPU
		sum.rss += usage.RSSBytes
		sum.most = max(sum.most, usage.RSSBytes)
		sum.sent += status.ControlSent
		sum.got += status.ControlReceived
	}
	return sum, nil
}

const bytesPerMB = 1 << 20

func (f *footprint) quiet(ctx context.Context) (footprintSize, error) {
	before, err := f.read(ctx)
	if err != nil {
		return footprintSize{}, err
	}
	started := time.Now()
	pause(ctx, f.cfg.window)
	seconds := time.Since(started).Seconds()
	after, err := f.read(ctx)
	if err != nil {
		return footprintSize{}, err
	}
	nodes := float64(len(f.fleet.Nodes))
	return footprintSize{
		Nodes:      len(f.fleet.Nodes),
		CPUPercent: 100 * (after.cpu - before.cpu).Seconds() / seconds / nodes,
		RSSMB:      float64(after.rss) / nodes / bytesPerMB,
		MaxRSSMB:   float64(after.most) / bytesPerMB,
		SentBytes:  float64(after.sent-before.sent) / seconds / nodes,
		GotBytes:   float64(after.got-before.got) / seconds / nodes,
	}, nil
}

// loadedEntries is the number of nodes that callers send to.
const loadedEntries = 3

// load measures the processor time of calls over what nodes take without any.
func (f *footprint) load(ctx context.Context, quietPercent float64) (footprintLoad, error) {
	f.bench.progress("%d calls a second at each of %d nodes", f.cfg.rate, loadedEntries)
	before, err := f.read(ctx)
	if err != nil {
		return footprintLoad{}, err
	}
	result := footprintLoad{Entries: loadedEntries, Rate: f.cfg.rate}
	started := time.Now()
	took, failed := f.call(ctx)
	seconds := time.Since(started).Seconds()
	after, err := f.read(ctx)
	if err != nil {
		return footprintLoad{}, err
	}
	nodes := float64(len(f.fleet.Nodes))
	cpu := (after.cpu - before.cpu).Seconds() - quietPercent/100*seconds*nodes
	result.Took, result.Failed = took.quantiles(), failed
	result.Calls = result.Took.Count
	result.MicrosPerCall = cpu * 1e6 / float64(max(1, result.Calls))
	result.RSSMB = float64(after.rss) / nodes / bytesPerMB
	return result, nil
}

func (f *footprint) call(ctx context.Context) (*latencies, map[string]int) {
	client := &http.Client{Transport: workload.Transport(overheadIdle), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	all, failures := newLatencies(), map[string]int{}
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, n := range f.fleet.Nodes[:min(loadedEntries, len(f.fleet.Nodes))] {
		work.Go(func() {
			caller := steadyCaller{client: client, rate: float64(f.cfg.rate)}
			took, failed := caller.call(ctx, "http://"+n.Callers+"/status/buoy-7", f.cfg.window)
			mu.Lock()
			defer mu.Unlock()
			all.histogram.Merge(took.histogram)
			addCounts(failures, failed)
		})
	}
	work.Wait()
	return all, failures
}

// slopes carries every measure on to the target size.
func (o *footprintOutcome) slopes() {
	first, last := o.Sizes[0], o.Sizes[len(o.Sizes)-1]
	each := func(of func(*footprintSize) *float64) {
		*of(&o.Slopes), *of(&o.At1800) = carryOn(first.Nodes, last.Nodes, *of(&first), *of(&last))
	}
	each(func(s *footprintSize) *float64 { return &s.CPUPercent })
	each(func(s *footprintSize) *float64 { return &s.RSSMB })
	each(func(s *footprintSize) *float64 { return &s.MaxRSSMB })
	each(func(s *footprintSize) *float64 { return &s.SentBytes })
	each(func(s *footprintSize) *float64 { return &s.GotBytes })
	o.Slopes.Nodes, o.At1800.Nodes = 1, targetNodes
}

func (o *footprintOutcome) broken() int {
	return 0
}

func (o *footprintOutcome) table(w io.Writer) {
	g := newGrid(w, "nodes", "CPU % of a core", "RSS MB", "largest RSS MB", "control sent B/s", "received B/s")
	row := func(name string, s footprintSize) {
		g.row(name, fmt.Sprintf("%.4f", s.CPUPercent), fmt.Sprintf("%.4f", s.RSSMB), decimal(s.MaxRSSMB), decimal(s.SentBytes), decimal(s.GotBytes))
	}
	for _, s := range o.Sizes {
		row(num(s.Nodes), s)
	}
	row("slope per node", o.Slopes)
	row("carried on to 1800", o.At1800)
	g.flush()
	l := o.Load
	_, _ = fmt.Fprintf(w, "load at %d nodes, %d calls/s each: %d calls, failed: %s, %.0f us of processor time a call over all nodes, RSS %.1f MB, p50 %.2f ms, p99 %.2f ms\n",
		l.Entries, l.Rate, l.Calls, failedText(l.Failed), l.MicrosPerCall, l.RSSMB, l.Took.P50Ms, l.Took.P99Ms)
}

func (o *footprintOutcome) chart() chart {
	c := chart{title: "A node's processor time and memory without load", x: "nodes", y: "% of a core, MB"}
	add := func(name string, of func(footprintSize) float64) {
		points := make(plotter.XYs, len(o.Sizes))
		for i, s := range o.Sizes {
			points[i] = plotter.XY{X: float64(s.Nodes), Y: of(s)}
		}
		c.curves = append(c.curves, curve{name: name, points: points})
	}
	add("CPU, % of a core", func(s footprintSize) float64 { return s.CPUPercent })
	add("RSS, MB", func(s footprintSize) float64 { return s.RSSMB })
	return c
}
