package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/bench/process"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/workload"
)

// overheadIdle is the number of idle connections that callers keep.
const overheadIdle = 64

// targetAddedMs is what may be added to a call for 99 in 100.
const targetAddedMs = 0.31

// overheadConfig is what the flags of overhead set.
type overheadConfig struct {
	rates  sizes
	rounds int
	block  time.Duration
	work   time.Duration
}

func overheadExperiment() experiment {
	return experiment{
		name:  "overhead",
		about: "What the system adds to a call, against a direct call to the backend server.",
		bound: 5 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &overheadConfig{rates: sizes{160, 1600}}
			flags.Var(&cfg.rates, "rates", "`calls` a second, separated by commas")
			flags.IntVar(&cfg.rounds, "rounds", 6, "`number` of blocks of each path")
			flags.DurationVar(&cfg.block, "block", 4*time.Second, "`length` of a block")
			flags.DurationVar(&cfg.work, "work", 0, "exact run `time` of a request")
			return func(ctx context.Context, b *bench) (outcome, error) { return runOverhead(ctx, b, *cfg) }
		},
	}
}

// overheadOutcome is the result of overhead.
type overheadOutcome struct {
	WorkTimeMs float64        `json:"workTimeMs"`
	Rates      []overheadRate `json:"rates"`
}

// overheadRate is what one rate showed.
type overheadRate struct {
	Rate  int            `json:"callsPerSecond"`
	Paths []overheadPath `json:"paths"`
}

// overheadPath is one way to the backend server.
type overheadPath struct {
	Path   string         `json:"path"`
	Took   quantiles      `json:"took"`
	Failed map[string]int `json:"failed"`
	// Added are the quantiles over those of the direct path.
	AddedP50Ms  float64 `json:"addedP50Ms"`
	AddedP99Ms  float64 `json:"addedP99Ms"`
	AddedP999Ms float64 `json:"addedP999Ms"`
	// MedianP99Ms is the median over the rounds of the added p99 in a round.
	MedianP99Ms float64 `json:"medianRoundAddedP99Ms"`

	url    string
	all    *latencies
	rounds []quantiles
}

// Names of the paths, in the order of a round.
const (
	pathDirect    = "direct"
	pathForwarder = "baseline: plain forwarder"
	pathLocal     = "local hop"
	pathPair      = "hop pair"
)

func runOverhead(ctx context.Context, b *bench, cfg overheadConfig) (outcome, error) {
	b.progress("building and starting the processes")
	site, err := startSite(ctx, cfg.work)
	if err != nil {
		return nil, err
	}
	defer site.close()
	out := &overheadOutcome{WorkTimeMs: cfg.work.Seconds() * 1000}
	for _, rate := range cfg.rates {
		result, err := site.measure(ctx, b, cfg, rate)
		if err != nil {
			return nil, err
		}
		out.Rates = append(out.Rates, result)
	}
	return out, nil
}

// site is three real nodes, one of them beside a real backend server, and a
// plain forwarder to that server.
type site struct {
	folder             string
	fleet              *process.Fleet
	backend, forwarder *process.Backend
	others             []*process.Backend
}

func startSite(ctx context.Context, work time.Duration) (*site, error) {
	s := &site{}
	if err := s.start(ctx, work); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(ctx context.Context, work time.Duration) error {
	var err error
	if s.folder, err = os.MkdirTemp("", "boragefall-bench-"); err != nil {
		return eris.Wrap(err, "make folder")
	}
	binary, err := process.BuildBinary(ctx, s.folder)
	if err != nil {
		return err
	}
	d, err := workload.Named("fyrnet")
	if err != nil {
		return err
	}
	if s.fleet, err = process.NewFleet(binary, s.folder, d); err != nil {
		return err
	}
	for i, service := range d.Services {
		if err := s.addHost(d, i, service.Name, work); err != nil {
			return err
		}
	}
	if s.forwarder, err = s.program("--forward", s.backend.Address); err != nil {
		return err
	}
	return s.fleet.Start(ctx)
}

func (s *site) program(args ...string) (*process.Backend, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "find own program")
	}
	return process.StartBackend(self, append([]string{"backend"}, args...)...)
}

func (s *site) addHost(d workload.Deployment, i int, service string, work time.Duration) error {
	listing := host.Listing{
		ID:      host.ID(fmt.Sprintf("%s-%s", d.DataCentres[i], service)),
		Place:   datacentre.Place{Region: d.Region, DataCentre: d.DataCentres[i]},
		Service: service,
	}
	server, err := s.program("--host", string(listing.ID), "--work", work.String())
	if err != nil {
		return err
	}
	if s.backend == nil {
		s.backend = server
	} else {
		s.others = append(s.others, server)
	}
	return s.fleet.Add(listing, server.Address)
}

func (s *site) close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
	for _, p := range append(s.others, s.backend, s.forwarder) {
		if p != nil {
			p.Stop()
		}
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

// paths lists the ways to the first host's backend server.
func (s *site) paths() []*overheadPath {
	const lookup = "/status/buoy-7"
	path := func(name, address string) *overheadPath {
		return &overheadPath{Path: name, url: "http://" + address + lookup, all: newLatencies(), Failed: map[string]int{}}
	}
	return []*overheadPath{
		path(pathDirect, s.backend.Address),
		path(pathForwarder, s.forwarder.Address),
		path(pathLocal, s.fleet.Nodes[0].Callers),
		path(pathPair, s.fleet.Nodes[1].Callers),
	}
}

// warmBlock is the length of the unmeasured block of each path.
const warmBlock = 2 * time.Second

func (s *site) measure(ctx context.Context, b *bench, cfg overheadConfig, rate int) (overheadRate, error) {
	client := &http.Client{Transport: workload.Transport(overheadIdle), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	caller := steadyCaller{client: client, rate: float64(rate)}
	paths := s.paths()
	for _, p := range paths {
		caller.call(ctx, p.url, warmBlock)
	}
	b.progress("%d calls a second: %d rounds of %d blocks of %v", rate, cfg.rounds, len(paths), cfg.block)
	for range cfg.rounds {
		for _, p := range paths {
			took, failed := caller.call(ctx, p.url, cfg.block)
			p.all.histogram.Merge(took.histogram)
			p.rounds = append(p.rounds, took.quantiles())
			addCounts(p.Failed, failed)
		}
	}
	return summariseOverhead(rate, paths), ctx.Err()
}

func summariseOverhead(rate int, paths []*overheadPath) overheadRate {
	result := overheadRate{Rate: rate}
	direct := paths[0]
	direct.Took = direct.all.quantiles()
	for _, p := range paths {
		p.Took = p.all.quantiles()
		p.AddedP50Ms = p.Took.P50Ms - direct.Took.P50Ms
		p.AddedP99Ms = p.Took.P99Ms - direct.Took.P99Ms
		p.AddedP999Ms = p.Took.P999Ms - direct.Took.P999Ms
		added := make([]float64, len(p.rounds))
		for i := range added {
			added[i] = p.rounds[i].P99Ms - direct.rounds[i].P99Ms
		}
		slices.Sort(added)
		p.MedianP99Ms = added[len(added)/2]
		result.Paths = append(result.Paths, *p)
	}
	return result
}

func (o *overheadOutcome) broken() int {
	return 0
}

func (o *overheadOutcome) table(w io.Writer) {
	g := newGrid(w, "calls/s", "path", "calls", "failed", "p50 ms", "p99 ms", "added p50", "added p99", "added p99.9", "median round's added p99")
	three := func(x float64) string { return fmt.Sprintf("%.3f", x) }
	for _, r := range o.Rates {
		for _, p := range r.Paths {
			g.row(num(r.Rate), p.Path, num(p.Took.Count), failedText(p.Failed), three(p.Took.P50Ms), three(p.Took.P99Ms),
				three(p.AddedP50Ms), three(p.AddedP99Ms), three(p.AddedP999Ms), three(p.MedianP99Ms))
		}
	}
	g.flush()
	_, _ = fmt.Fprintf(w, "aim: %.2f ms added at p99\n", targetAddedMs)
}
