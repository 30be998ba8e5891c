package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/bench/baseline"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/workload"
)

// side is one of the two that an experiment compares: the product, or the
// plain baseline in front of servers of its own.
type side struct {
	bench *bench
	fleet *workload.Fleet
	tally *workload.Tally
	plain bool
	// load is the steady load of the innocent callers, without its duration.
	load workload.LoadConfig

	stop context.CancelFunc
}

// sideConfig describes a side.
type sideConfig struct {
	deployment workload.Deployment
	plain      bool
	load       workload.LoadConfig
	fleet      workload.FleetConfig
}

// startSide starts warm servers and what stands before them. The product's
// gates are warm when it returns.
func startSide(ctx context.Context, b *bench, cfg sideConfig) (*side, error) {
	cfg.fleet.Logger, cfg.fleet.StartWarm, cfg.fleet.WithoutNodes = b.logger, true, cfg.plain
	fleet, err := workload.StartFleet(ctx, cfg.deployment, cfg.fleet)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	s := &side{bench: b, fleet: fleet, tally: workload.NewTally(fleet.Record), plain: cfg.plain, load: cfg.load, stop: stop}
	s.load.Seed = b.seed
	if err := s.prepare(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *side) close() {
	s.stop()
	s.fleet.Close()
}

// name returns the side's name in tables.
func (s *side) name() string {
	if s.plain {
		return "baseline"
	}
	return "product"
}

func (s *side) prepare(ctx context.Context) error {
	if s.plain {
		router, err := plainRouter(ctx, s.fleet)
		s.load.Transport = router
		return err
	}
	s.bench.progress("waiting for leases and warm gates")
	if err := s.fleet.WaitKeys(ctx); err != nil {
		return err
	}
	return s.warmUp(ctx)
}

// plainPoll is the interval at which the baseline reads the source.
const plainPoll = time.Second

// plainRouter starts a baseline router in front of a fleet's servers.
func plainRouter(ctx context.Context, fleet *workload.Fleet) (*baseline.Router, error) {
	addresses := map[host.ID]string{}
	for _, m := range fleet.Members {
		addresses[m.Listing.ID] = m.Server.Address()
	}
	poller := baseline.NewPoller(baseline.PollerConfig{URL: fleet.PlatformURL(), Interval: plainPoll})
	if err := poller.Poll(ctx); err != nil {
		return nil, err
	}
	go poller.Run(ctx)
	return baseline.NewRouter(poller, addresses, workload.Transport(100)), nil
}

const (
	phaseWarmUp = "warm-up"
	warmUpShare = 0.8 // of what cold servers bear
	warmUpLimit = time.Minute
	warmPoll    = 100 * time.Millisecond
)

// warmUp puts a light load on until every gate is warm.
func (s *side) warmUp(ctx context.Context) error {
	s.tally.Enter(phaseWarmUp)
	load := coldLoad(s.fleet.Deployment)
	load.Duration = warmUpLimit
	load.Seed = s.bench.seed
	ctx, cancel := context.WithTimeout(ctx, warmUpLimit)
	defer cancel()
	loaded := s.start(ctx, load)
	for !s.fleet.Warm() && ctx.Err() == nil {
		pause(ctx, warmPoll)
	}
	warm := s.fleet.Warm()
	cancel()
	loaded()
	if !warm {
		return eris.New("gates did not become warm")
	}
	return nil
}

// coldLoad returns the load with which gates become warm soon.
func coldLoad(d workload.Deployment) workload.LoadConfig {
	d = d.WithWorkTime(d.Services[0].WorkTime)
	for i := range d.Services {
		d.Services[i].Slots = d.Services[i].ColdLimit
	}
	return loadFor(d, warmUpShare, "")
}

// start puts a load on and returns what waits for its end and tells the
// operations that were dropped.
func (s *side) start(ctx context.Context, cfg workload.LoadConfig) func() int64 {
	return runLoad(ctx, s.fleet.NewLoad(cfg, s.tally))
}

func runLoad(ctx context.Context, load *workload.Load) func() int64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx)
	}()
	return func() int64 {
		<-done
		return load.Dropped()
	}
}

// gates sums up what the nodes say of the servers beside them.
func (s *side) gates() string {
	states := map[string]int{}
	var running, queued, limit int
	for _, m := range s.fleet.Running() {
		gate := m.Node().Status().Gate
		states[gate.State]++
		running += gate.Running
		queued += gate.Queued
		limit += gate.Limit
	}
	return fmt.Sprintf("gates %v, limit %d, running %d, queued %d", states, limit, running, queued)
}

// enter begins a phase.
func (s *side) enter(phase string) {
	s.bench.progress("%s: %s: phase %s", s.name(), s.gates(), phase)
	s.tally.Enter(phase)
}

// loadFor returns a load that takes the same share of every service's capacity
// outside a data centre; no data centre means of the whole.
func loadFor(d workload.Deployment, share float64, without datacentre.ID) workload.LoadConfig {
	of := map[string]int{} // operations' shares by service
	for _, o := range d.Operations {
		of[o.Service] += o.Share
	}
	var load workload.LoadConfig
	for _, o := range d.Operations {
		size := d.Size(o.Service)
		capacity := float64(d.HostsOutside(o.Service, without)*size.Slots) / size.WorkTime.Seconds()
		rate := share * capacity * float64(o.Share) / float64(of[o.Service])
		load.Rate += rate
		o.Share = max(1, int(rate*shareUnit))
		load.Operations = append(load.Operations, o)
	}
	return load
}

// shareUnit is the resolution of operations' shares.
const shareUnit = 100

// phaseResult is one phase of one side.
type phaseResult struct {
	Phase  string          `json:"phase"`
	Result workload.Result `json:"result"`
}

// failures counts operations that callers gave up, by what they may do.
type failures struct {
	Idempotent int `json:"idempotent"`
	Others     int `json:"others"`
	MayHaveRun int `json:"mayHaveRun"`
}

func failuresOf(phases []phaseResult) failures {
	var f failures
	for _, p := range phases {
		for _, k := range p.Result.Kinds {
			if k.Idempotent {
				f.Idempotent += k.Operations - k.Good
			} else {
				f.Others += k.Operations - k.Good
				f.MayHaveRun += k.Failed["may-have-run"]
			}
		}
	}
	return f
}

// phases reads the results of phases.
func (s *side) phases(names ...string) []phaseResult {
	results := make([]phaseResult, 0, len(names))
	for _, name := range names {
		results = append(results, phaseResult{Phase: name, Result: s.tally.PhaseResult(name)})
	}
	return results
}

// phaseTitles are the columns of phaseRows.
var phaseTitles = []string{"side", "phase", "kind", "good", "of", "p50 ms", "p99 ms", "max ms", "failed"}

func phaseRows(g *grid, name string, phases []phaseResult) {
	for _, p := range phases {
		for kind, k := range sorted(p.Result.Kinds) {
			g.row(name, p.Phase, kind, num(k.Good), num(k.Operations), decimal(k.P50Ms), decimal(k.P99Ms), decimal(k.MaxMs), failedText(k.Failed))
		}
	}
}

// both runs a measurement for the product and then for the baseline.
func both[T any](ctx context.Context, b *bench, cfg sideConfig, measure func(context.Context, *side) (T, error)) (product, plain T, err error) {
	for _, into := range []*T{&product, &plain} {
		cfg.plain = into == &plain
		s, err := startSide(ctx, b, cfg)
		if err != nil {
			return product, plain, err
		}
		b.progress("%s: %.0f operations a second", s.name(), s.load.Rate)
		*into, err = measure(ctx, s)
		s.close()
		if err != nil {
			return product, plain, err
		}
	}
	return product, plain, nil
}
