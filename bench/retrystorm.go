package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"boragefall/internal/workload"
)

const phaseStorm = "storm"

// stormConfig is what the flags of retry-storm set.
type stormConfig struct {
	workTime time.Duration
	share    float64
	partner  float64
	times    float64
	tries    int
	length   time.Duration
}

func retryStormExperiment() experiment {
	return experiment{
		name:  "retry-storm",
		about: "One partner sends many times its load and retries without pause.",
		bound: 4 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &stormConfig{}
			flags.DurationVar(&cfg.workTime, "work-time", 100*time.Millisecond, "mean run `time` of a request")
			flags.Float64Var(&cfg.share, "share", 0.5, "the innocent callers' load as a `share` of the whole capacity")
			flags.Float64Var(&cfg.partner, "partner", 0.1, "the partner's ordinary load as a `share` of the whole capacity")
			flags.Float64Var(&cfg.times, "times", 10, "the partner's load in the storm over its ordinary one")
			flags.IntVar(&cfg.tries, "tries", 10, "`number` of times that the partner sends one operation at most, without pause")
			flags.DurationVar(&cfg.length, "phase", 12*time.Second, "`length` of each phase")
			return func(ctx context.Context, b *bench) (outcome, error) { return runStorm(ctx, b, *cfg) }
		},
	}
}

// stormOutcome is the result of retry-storm.
type stormOutcome struct {
	WorkTimeMs int64     `json:"workTimeMs"`
	Rate       float64   `json:"innocentOperationsPerSecond"`
	Partner    float64   `json:"partnerOrdinaryOperationsPerSecond"`
	Times      float64   `json:"partnerTimes"`
	Product    stormSide `json:"product"`
	Baseline   stormSide `json:"baseline"`
}

// stormSide is what one side did.
type stormSide struct {
	Phases  []phaseResult   `json:"phases"`
	Goodput goodputs        `json:"innocentGoodput"`
	Partner workload.Result `json:"partner"`
	Failed  failures        `json:"innocentFailed"`
	Broken  workload.Broken `json:"brokenPromises"`
	Crashes int             `json:"crashes"`
}

// goodputs are good operations a second by phase.
type goodputs struct {
	Before float64 `json:"before"`
	Storm  float64 `json:"storm"`
	After  float64 `json:"after"`
}

const phaseAfter = "after"

func runStorm(ctx context.Context, b *bench, cfg stormConfig) (outcome, error) {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(cfg.workTime)
	load := loadFor(d, cfg.share, "")
	out := &stormOutcome{
		WorkTimeMs: cfg.workTime.Milliseconds(), Rate: load.Rate,
		Partner: loadFor(d, cfg.partner, "").Rate, Times: cfg.times,
	}
	out.Product, out.Baseline, err = both(ctx, b, sideConfig{deployment: d, load: load},
		func(ctx context.Context, s *side) (stormSide, error) { return stormOnce(ctx, s, cfg), nil })
	return out, err
}

func stormOnce(ctx context.Context, s *side, cfg stormConfig) stormSide {
	watch := s.fleet.WatchVersions(ctx)
	load := s.load
	load.Duration = 3 * cfg.length
	s.enter(phaseBefore)
	ended := s.start(ctx, load)
	pause(ctx, cfg.length)
	s.enter(phaseStorm)
	partner := workload.NewTally(s.fleet.Record)
	storm := runLoad(ctx, s.fleet.NewLoad(s.stormLoad(cfg), partner))
	pause(ctx, cfg.length)
	s.enter(phaseAfter)
	ended()
	storm()
	result := stormSide{
		Phases: s.phases(phaseBefore, phaseStorm, phaseAfter), Partner: partner.Result(),
		Crashes: s.fleet.Record.Crashes(),
	}
	result.Broken = s.tally.Broken(s.fleet, nil, watch.Stop())
	result.Broken.Add(partner.Broken(s.fleet, nil, 0))
	result.Failed = failuresOf(result.Phases)
	good := func(i int) float64 { return float64(result.Phases[i].Result.Good) / cfg.length.Seconds() }
	result.Goodput = goodputs{Before: good(0), Storm: good(1), After: good(2)}
	return result
}

// stormLoad is the partner's: the same mix of operations under its own name.
func (s *side) stormLoad(cfg stormConfig) workload.LoadConfig {
	load := loadFor(s.fleet.Deployment, cfg.partner*cfg.times, "")
	for i := range load.Operations {
		load.Operations[i].Caller = "partner"
	}
	load.Transport = s.load.Transport
	load.MaxTries = cfg.tries
	load.Duration = cfg.length
	load.Seed = s.bench.seed + 1
	return load
}

func (o *stormOutcome) broken() int {
	return o.Product.Broken.Total()
}

func (o *stormOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "innocent callers %.0f operations/s, the partner %.0f times its %.0f, work time %d ms\n", o.Rate, o.Times, o.Partner, o.WorkTimeMs)
	g := newGrid(w, phaseTitles...)
	phaseRows(g, "product", o.Product.Phases)
	phaseRows(g, "baseline", o.Baseline.Phases)
	g.flush()
	o.Product.line(w, "product")
	o.Baseline.line(w, "baseline")
}

func (s stormSide) line(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%s: innocent goodput %.0f/s before, %.0f/s in the storm, %.0f/s after; failed %d idempotent, %d others, %d of them may-have-run; the partner sent %d times for %d operations, %d good; %d crashes; promises %+v\n",
		name, s.Goodput.Before, s.Goodput.Storm, s.Goodput.After, s.Failed.Idempotent, s.Failed.Others, s.Failed.MayHaveRun,
		s.Partner.Tries, s.Partner.Operations, s.Partner.Good, s.Crashes, s.Broken)
}
