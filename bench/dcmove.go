package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"boragefall/internal/datacentre"
	"boragefall/internal/workload"
)

// Phases of a data centre's move.
const (
	phaseBefore   = "before"
	phaseLeaving  = "leaving"
	phaseOut      = "out"
	phaseReturned = "returned"
)

// moveConfig is what the flags of dc-move set.
type moveConfig struct {
	deployment string
	workTime   time.Duration
	share      float64       // of the capacity of the data centres that stay
	leaving    time.Duration // length of that phase
	length     time.Duration // length of the other phases
	out        datacentre.ID
}

func dcMoveExperiment() experiment {
	return experiment{
		name:  "dc-move",
		about: "A data centre leaves and returns cold, under steady load.",
		bound: 4 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &moveConfig{}
			flags.StringVar(&cfg.deployment, "deployment", "fyrnet", "`name` of the deployment")
			flags.DurationVar(&cfg.workTime, "work-time", 40*time.Millisecond, "mean run `time` of a request")
			flags.Float64Var(&cfg.share, "share", 0.6, "load as a `share` of the capacity that stays")
			flags.DurationVar(&cfg.leaving, "leaving", 5*time.Second, "`length` of the leaving phase")
			flags.DurationVar(&cfg.length, "phase", 10*time.Second, "`length` of each other phase")
			return func(ctx context.Context, b *bench) (outcome, error) { return runMove(ctx, b, *cfg) }
		},
	}
}

// moveOutcome is the result of dc-move.
type moveOutcome struct {
	Deployment string   `json:"deployment"`
	WorkTimeMs int64    `json:"workTimeMs"`
	Share      float64  `json:"shareOfRemainingCapacity"`
	Rate       float64  `json:"operationsPerSecond"`
	Out        string   `json:"dataCentre"`
	Product    moveSide `json:"product"`
	Baseline   moveSide `json:"baseline"`
}

// moveSide is what one side did.
type moveSide struct {
	Phases     []phaseResult   `json:"phases"`
	Failed     failures        `json:"failed"`
	Dropped    int64           `json:"dropped"`
	LastWorkMs int64           `json:"lastWorkAfterMarkMs"`
	Crashes    int             `json:"crashes"`
	Broken     workload.Broken `json:"brokenPromises"`
	// Growth is each kind's p99 in its worst phase over that before.
	Growth map[string]float64 `json:"p99WorstOverQuiet"`
}

func runMove(ctx context.Context, b *bench, cfg moveConfig) (outcome, error) {
	d, err := workload.Named(cfg.deployment)
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(cfg.workTime)
	cfg.out = d.DataCentres[1]
	load := loadFor(d, cfg.share, cfg.out)
	result := &moveOutcome{
		Deployment: d.Name, WorkTimeMs: cfg.workTime.Milliseconds(), Share: cfg.share,
		Rate: load.Rate, Out: string(cfg.out),
	}
	result.Product, result.Baseline, err = both(ctx, b, sideConfig{deployment: d, load: load},
		func(ctx context.Context, s *side) (moveSide, error) { return moveOnce(ctx, s, cfg), nil })
	return result, err
}

func moveOnce(ctx context.Context, s *side, cfg moveConfig) moveSide {
	watch := s.fleet.WatchVersions(ctx)
	load := s.load
	load.Duration = 3*cfg.length + cfg.leaving
	s.enter(phaseBefore)
	dropped := s.start(ctx, load)
	absence := move(ctx, s, cfg)
	result := moveSide{Dropped: dropped(), Phases: s.phases(phaseBefore, phaseLeaving, phaseOut, phaseReturned)}
	result.Crashes = s.fleet.Record.Crashes()
	result.LastWorkMs = s.fleet.LastWork(absence).Milliseconds()
	result.Broken = s.tally.Broken(s.fleet, []workload.Absence{absence}, watch.Stop())
	result.Failed = failuresOf(result.Phases)
	result.Growth = growth(result.Phases)
	return result
}

// move is what the operators do. The servers are replaced by cold ones while
// the data centre is out.
func move(ctx context.Context, s *side, cfg moveConfig) workload.Absence {
	pause(ctx, cfg.length)
	s.enter(phaseLeaving)
	absence := workload.Absence{DataCentre: cfg.out, From: time.Now()}
	s.fleet.MarkDataCentre(cfg.out, true)
	pause(ctx, cfg.leaving)
	s.enter(phaseOut)
	pause(ctx, cfg.length/2)
	for _, m := range s.fleet.Members {
		if m.Listing.Place.DataCentre == cfg.out {
			m.Server.Replace()
		}
	}
	pause(ctx, cfg.length/2)
	s.enter(phaseReturned)
	absence.To = time.Now()
	s.fleet.MarkDataCentre(cfg.out, false)
	return absence
}

// growth returns each kind's p99 in its worst phase over the first phase's.
func growth(phases []phaseResult) map[string]float64 {
	out := map[string]float64{}
	for kind, quiet := range phases[0].Result.Kinds {
		for _, p := range phases[1:] {
			if quiet.P99Ms > 0 {
				out[kind] = max(out[kind], p.Result.Kinds[kind].P99Ms/quiet.P99Ms)
			}
		}
	}
	return out
}

func (o *moveOutcome) broken() int {
	return o.Product.Broken.Total()
}

func (o *moveOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: %.0f operations/s, %.0f%% of what stays without %s, work time %d ms\n",
		o.Deployment, o.Rate, 100*o.Share, o.Out, o.WorkTimeMs)
	g := newGrid(w, phaseTitles...)
	phaseRows(g, "product", o.Product.Phases)
	phaseRows(g, "baseline", o.Baseline.Phases)
	g.flush()
	o.Product.line(w, "product")
	o.Baseline.line(w, "baseline")
}

func (s moveSide) line(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%s: failed %d idempotent, %d others, %d of them may-have-run; last new work %d ms after the mark; %d crashes; %d dropped; promises %+v; p99 worst phase over quiet",
		name, s.Failed.Idempotent, s.Failed.Others, s.Failed.MayHaveRun, s.LastWorkMs, s.Crashes, s.Dropped, s.Broken)
	for kind, x := range sorted(s.Growth) {
		_, _ = fmt.Fprintf(w, " %s %.2f", kind, x)
	}
	_, _ = fmt.Fprintln(w)
}
