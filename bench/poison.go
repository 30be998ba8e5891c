package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"boragefall/internal/workload"
)

const phasePoison = "poison"

// Kinds of poison requests.
const (
	poisonLookup  = "poison-lookup"
	poisonKeyed   = "poison-keyed"
	poisonUnkeyed = "poison-unkeyed"
)

// poisonConfig is what the flags of poison set.
type poisonConfig struct {
	share float64
	each  int
	tries int
	gap   time.Duration
}

func poisonExperiment() experiment {
	return experiment{
		name:  "poison",
		about: "Requests that crash each server that runs them, sent again at once.",
		bound: 4 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &poisonConfig{}
			flags.Float64Var(&cfg.share, "share", 0.2, "the innocent callers' load as a `share` of the whole capacity")
			flags.IntVar(&cfg.each, "each", 2, "`number` of poison requests of each kind")
			flags.IntVar(&cfg.tries, "tries", 20, "`number` of times that each is sent at most, without pause")
			flags.DurationVar(&cfg.gap, "gap", 5*time.Second, "`time` between two poison requests")
			return func(ctx context.Context, b *bench) (outcome, error) { return runPoison(ctx, b, *cfg) }
		},
	}
}

// crashAim is the number of servers that one poison request may crash.
const crashAim = 2

// poisonOutcome is the result of poison.
type poisonOutcome struct {
	Rate     float64    `json:"innocentOperationsPerSecond"`
	Tries    int        `json:"poisonTries"`
	Product  poisonSide `json:"product"`
	Baseline poisonSide `json:"baseline"`
}

// poisonSide is what one side did.
type poisonSide struct {
	Poisons []poisonResult  `json:"poisons"`
	Phases  []phaseResult   `json:"phases"`
	Failed  failures        `json:"innocentFailed"`
	Crashes int             `json:"crashes"`
	Broken  workload.Broken `json:"brokenPromises"`
}

// poisonResult is what one poison request did.
type poisonResult struct {
	Kind string `json:"kind"`
	// Runs is the number of servers that ran it and crashed.
	Runs int `json:"runs"`
}

const poisonWorkTime = 20 * time.Millisecond

func runPoison(ctx context.Context, b *bench, cfg poisonConfig) (outcome, error) {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(poisonWorkTime)
	load := loadFor(d, cfg.share, "")
	out := &poisonOutcome{Rate: load.Rate, Tries: cfg.tries}
	out.Product, out.Baseline, err = both(ctx, b, sideConfig{deployment: d, load: load},
		func(ctx context.Context, s *side) (poisonSide, error) { return poisonOnce(ctx, s, cfg), nil })
	return out, err
}

func poisonOnce(ctx context.Context, s *side, cfg poisonConfig) poisonSide {
	watch := s.fleet.WatchVersions(ctx)
	kinds := []string{poisonLookup, poisonKeyed, poisonUnkeyed}
	load := s.load
	load.Duration = cfg.gap * time.Duration(1+cfg.each*len(kinds))
	s.enter(phaseBefore)
	ended := s.start(ctx, load)
	pause(ctx, cfg.gap)
	s.enter(phasePoison)
	result := poisonSide{}
	tally := workload.NewTally(s.fleet.Record)
	poisons := s.fleet.NewLoad(workload.LoadConfig{
		Rate: 1, Duration: load.Duration, MaxTries: cfg.tries, Transport: s.load.Transport, Seed: s.bench.seed,
	}, tally)
	for n := range cfg.each * len(kinds) {
		result.Poisons = append(result.Poisons, s.poison(ctx, poisons, kinds[n%len(kinds)], n, cfg.gap))
	}
	ended()
	result.Phases = s.phases(phaseBefore, phasePoison)
	result.Failed = failuresOf(result.Phases)
	result.Crashes = s.fleet.Record.Crashes()
	result.Broken = s.tally.Broken(s.fleet, nil, watch.Stop())
	result.Broken.Add(tally.Broken(s.fleet, nil, 0))
	return result
}

// poison sends one poison request and waits for the next one's time.
func (s *side) poison(ctx context.Context, load *workload.Load, kind string, n int, gap time.Duration) poisonResult {
	o := poisonOperation(kind, n)
	started := time.Now()
	load.Perform(o, kind == poisonKeyed)
	pause(ctx, gap-time.Since(started))
	result := poisonResult{Kind: kind}
	for _, run := range s.fleet.Record.Runs() {
		if strings.HasPrefix(run.Operation, o.Name+".") {
			result.Runs++
		}
	}
	return result
}

func poisonOperation(kind string, n int) workload.Operation {
	name := fmt.Sprintf("%s-%d", kind, n)
	o := workload.Operation{Name: name, Caller: "harbour-crew", Poison: true}
	if kind == poisonLookup {
		o.Method, o.Path, o.Idempotent, o.Service = http.MethodGet, "/status/"+name, true, "status"
		return o
	}
	o.Method, o.Path, o.BodyBytes, o.Service = http.MethodPost, "/orders", 100+n, "ordering"
	return o
}

// broken counts a poison request that crashed more servers than the aim too.
func (o *poisonOutcome) broken() int {
	count := o.Product.Broken.Total()
	for _, p := range o.Product.Poisons {
		if p.Runs > crashAim {
			count++
		}
	}
	return count
}

func (o *poisonOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "innocent callers %.0f operations/s; each poison request is sent up to %d times; aim: at most %d crashes each\n", o.Rate, o.Tries, crashAim)
	g := newGrid(w, phaseTitles...)
	phaseRows(g, "product", o.Product.Phases)
	phaseRows(g, "baseline", o.Baseline.Phases)
	g.flush()
	o.Product.line(w, "product")
	o.Baseline.line(w, "baseline")
}

func (s poisonSide) line(w io.Writer, name string) {
	for _, p := range s.Poisons {
		_, _ = fmt.Fprintf(w, "%s: %s crashed %d servers\n", name, p.Kind, p.Runs)
	}
	_, _ = fmt.Fprintf(w, "%s: innocent failed %d idempotent, %d others, %d of them may-have-run; %d crashes; promises %+v\n",
		name, s.Failed.Idempotent, s.Failed.Others, s.Failed.MayHaveRun, s.Crashes, s.Broken)
}
