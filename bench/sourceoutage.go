package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"boragefall/bench/baseline"
	"boragefall/internal/workload"
)

const phaseOutage = "outage"

// outageConfig is what the flags of source-outage set.
type outageConfig struct {
	share    float64
	length   time.Duration
	restarts int
}

func sourceOutageExperiment() experiment {
	return experiment{
		name:  "source-outage",
		about: "The source is down while requests run and nodes restart.",
		bound: 3 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &outageConfig{}
			flags.Float64Var(&cfg.share, "share", 0.1, "load as a `share` of the whole capacity")
			flags.DurationVar(&cfg.length, "phase", 12*time.Second, "`length` of each phase")
			flags.IntVar(&cfg.restarts, "restarts", 2, "`number` of nodes killed and started again in the outage")
			return func(ctx context.Context, b *bench) (outcome, error) { return runOutage(ctx, b, *cfg) }
		},
	}
}

// outageOutcome is the result of source-outage.
type outageOutcome struct {
	Rate     float64    `json:"operationsPerSecond"`
	Product  outageSide `json:"product"`
	Baseline outageSide `json:"baseline"`
}

// outageSide is what one side did.
type outageSide struct {
	Phases   []phaseResult `json:"phases"`
	Failed   failures      `json:"failed"`
	Restarts int           `json:"restartsInOutage"`
	// Ready is the time to ready of the restarted that got a configuration.
	Ready quantiles `json:"timeToReady"`
	// After is the time from a publish at the end of the outage to in force.
	After  quantiles       `json:"convergenceAfterOutage"`
	Missed int             `json:"notInForceInTime"`
	Broken workload.Broken `json:"brokenPromises"`
}

const outageWorkTime = 20 * time.Millisecond

func runOutage(ctx context.Context, b *bench, cfg outageConfig) (outcome, error) {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(outageWorkTime)
	load := loadFor(d, cfg.share, "")
	out := &outageOutcome{Rate: load.Rate}
	out.Product, out.Baseline, err = both(ctx, b, sideConfig{deployment: d, load: load},
		func(ctx context.Context, s *side) (outageSide, error) { return outageOnce(ctx, s, cfg), nil })
	return out, err
}

func outageOnce(ctx context.Context, s *side, cfg outageConfig) outageSide {
	watch := s.fleet.WatchVersions(ctx)
	load := s.load
	load.Duration = 3 * cfg.length
	s.enter(phaseBefore)
	ended := s.start(ctx, load)
	pause(ctx, cfg.length)
	s.enter(phaseOutage)
	s.fleet.Platform.SetOutage(true)
	down := time.Now()
	result := outageSide{Restarts: cfg.restarts}
	result.Ready = s.restartBlind(ctx, cfg)
	pause(ctx, cfg.length-time.Since(down))
	s.enter(phaseAfter)
	result.After, result.Missed = s.publishAfter(ctx)
	ended()
	result.Phases = s.phases(phaseBefore, phaseOutage, phaseAfter)
	result.Failed = failuresOf(result.Phases)
	result.Broken = s.tally.Broken(s.fleet, nil, watch.Stop())
	return result
}

// restartBlind restarts nodes while the source is down. In the baseline a new
// poller stands for a node.
func (s *side) restartBlind(ctx context.Context, cfg outageConfig) quantiles {
	took := newLatencies()
	limit := cfg.length / time.Duration(cfg.restarts+1)
	for i := range cfg.restarts {
		m := s.fleet.Members[i]
		started := time.Now()
		got := s.restartOne(ctx, m)
		for !got() && time.Since(started) < limit && ctx.Err() == nil {
			pause(ctx, herdPoll)
		}
		if got() {
			took.add(time.Since(started))
		}
	}
	return took.quantiles()
}

// restartOne returns what tells whether the restarted has its configuration.
func (s *side) restartOne(ctx context.Context, m *workload.Member) func() bool {
	if s.plain {
		p := baseline.NewPoller(baseline.PollerConfig{URL: s.fleet.PlatformURL(), Interval: plainPoll})
		go p.Run(ctx)
		return func() bool { return p.Version().Revision > 0 }
	}
	s.fleet.KillNode(m)
	if err := s.fleet.StartNode(ctx, m); err != nil {
		s.bench.progress("%s did not start: %v", m.Listing.ID, err)
		return func() bool { return false }
	}
	return func() bool { return m.Node().Status().Ready }
}

// publishAfter publishes a version while the source is down still, ends the
// outage and measures until the version is in force everywhere.
func (s *side) publishAfter(ctx context.Context) (quantiles, int) {
	took := newLatencies()
	version := s.fleet.Touch(1)
	s.fleet.Platform.SetOutage(false)
	members := s.fleet.Running()
	times, _ := s.fleet.ConvergedAt(ctx, members, version, time.Now(), convergeLimit)
	took.add(times...)
	return took.quantiles(), len(members) - len(times)
}

func (o *outageOutcome) broken() int {
	return o.Product.Broken.Total() + o.Product.Missed
}

func (o *outageOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%.0f operations/s, work time %v\n", o.Rate, outageWorkTime)
	g := newGrid(w, phaseTitles...)
	phaseRows(g, "product", o.Product.Phases)
	phaseRows(g, "baseline", o.Baseline.Phases)
	g.flush()
	o.Product.line(w, "product")
	o.Baseline.line(w, "baseline")
}

func (s outageSide) line(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%s: %d of %d restarted in the outage got a configuration, p50 %.0f ms, max %.0f ms; after it a version in force on %d in at most %.0f ms, %d not; failed %d idempotent, %d others, %d of them may-have-run; promises %+v\n",
		name, s.Ready.Count, s.Restarts, s.Ready.P50Ms, s.Ready.MaxMs, s.After.Count, s.After.MaxMs, s.Missed,
		s.Failed.Idempotent, s.Failed.Others, s.Failed.MayHaveRun, s.Broken)
}
