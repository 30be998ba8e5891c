package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"boragefall/internal/host"
	"boragefall/internal/workload"
)

// Phases of a cold start.
const (
	phaseCold   = "cold start"
	phaseCooled = "turned cold unannounced"
)

// coldConfig is what the flags of cold-start set.
type coldConfig struct {
	workTime time.Duration
	share    float64
	length   time.Duration
	silent   bool
}

func coldStartExperiment() experiment {
	return experiment{
		name:  "cold-start",
		about: "A server restarts cold under load near capacity.",
		bound: 4 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &coldConfig{}
			flags.DurationVar(&cfg.workTime, "work-time", 40*time.Millisecond, "mean run `time` of a request")
			flags.Float64Var(&cfg.share, "share", 0.7, "load as a `share` of the whole capacity")
			flags.DurationVar(&cfg.length, "phase", 12*time.Second, "`length` of each phase")
			flags.BoolVar(&cfg.silent, "silent", false, "let a warm server turn cold under load as well; nobody can foresee the first overload")
			return func(ctx context.Context, b *bench) (outcome, error) { return runColdStart(ctx, b, *cfg) }
		},
	}
}

// coldOutcome is the result of cold-start.
type coldOutcome struct {
	WorkTimeMs int64    `json:"workTimeMs"`
	Share      float64  `json:"shareOfCapacity"`
	Rate       float64  `json:"operationsPerSecond"`
	Product    coldSide `json:"product"`
	Baseline   coldSide `json:"baseline"`
}

// coldSide is what one side did.
type coldSide struct {
	Phases  []phaseResult   `json:"phases"`
	Failed  failures        `json:"failed"`
	Broken  workload.Broken `json:"brokenPromises"`
	Crashes int             `json:"crashes"`
	Starts  []coldStart     `json:"starts"`
}

// coldStart is how one server came back.
type coldStart struct {
	Phase     string `json:"phase"`
	Host      string `json:"host"`
	Overloads int    `json:"coldOverloads"`
	// FullMs is the time from the restart until the server ran at its fair
	// share for a second; -1 if it did not within the phase.
	FullMs int64 `json:"fullShareAfterMs"`
}

func runColdStart(ctx context.Context, b *bench, cfg coldConfig) (outcome, error) {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(cfg.workTime)
	load := loadFor(d, cfg.share, "")
	out := &coldOutcome{WorkTimeMs: cfg.workTime.Milliseconds(), Share: cfg.share, Rate: load.Rate}
	out.Product, out.Baseline, err = both(ctx, b, sideConfig{deployment: d, load: load},
		func(ctx context.Context, s *side) (coldSide, error) { return coldOnce(ctx, s, cfg), nil })
	return out, err
}

func coldOnce(ctx context.Context, s *side, cfg coldConfig) coldSide {
	watch := s.fleet.WatchVersions(ctx)
	names := []string{phaseBefore, phaseCold}
	if cfg.silent {
		names = append(names, phaseCooled)
	}
	load := s.load
	load.Duration = time.Duration(len(names)) * cfg.length
	s.enter(phaseBefore)
	ended := s.start(ctx, load)
	pause(ctx, cfg.length)
	result := coldSide{}
	first := s.fleet.Members[0]
	result.Starts = append(result.Starts, s.coldStart(ctx, cfg, phaseCold, first, first.Server.Replace))
	if cfg.silent {
		second := s.fleet.Members[1]
		result.Starts = append(result.Starts, s.coldStart(ctx, cfg, phaseCooled, second, second.Server.Cool))
	}
	ended()
	result.Phases = s.phases(names...)
	result.Failed = failuresOf(result.Phases)
	result.Broken = s.tally.Broken(s.fleet, nil, watch.Stop())
	result.Crashes = s.fleet.Record.Crashes()
	return result
}

// coldStart makes a server cold and sees it come back.
func (s *side) coldStart(ctx context.Context, cfg coldConfig, phase string, m *workload.Member, cool func()) coldStart {
	s.enter(phase)
	before := s.fleet.Record.ColdOverloads()
	since := time.Now()
	cool()
	pause(ctx, cfg.length)
	return coldStart{
		Phase: phase, Host: string(m.Listing.ID),
		Overloads: s.fleet.Record.ColdOverloads() - before,
		FullMs:    s.fullAfter(m.Listing, since).Milliseconds(),
	}
}

// Measure of a server's full share: so many runs within a second, as a part of
// an even spread over its service.
const (
	fullWindow = time.Second
	fullPart   = 0.8
)

// fullAfter returns when, after a moment, a second began in which the server
// ran its fair share; -1 ms if never.
func (s *side) fullAfter(listing host.Listing, since time.Time) time.Duration {
	var own []time.Time
	all := 0
	for _, run := range s.fleet.Record.Runs() {
		if run.At.Before(since) {
			continue
		}
		if s.fleet.ServiceOf(run.Host) == listing.Service {
			all++
		}
		if run.Host == listing.ID {
			own = append(own, run.At)
		}
	}
	hosts := s.fleet.Deployment.Size(listing.Service).Hosts
	fair := float64(all) / time.Since(since).Seconds() / float64(hosts)
	need := int(fullPart * fair * fullWindow.Seconds())
	for i := range own {
		if i+need < len(own) && own[i+need].Sub(own[i]) <= fullWindow {
			return own[i].Sub(since)
		}
	}
	return -time.Millisecond
}

func (o *coldOutcome) broken() int {
	return o.Product.Broken.Total()
}

func (o *coldOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%.0f operations/s, %.0f%% of the whole capacity, work time %d ms\n", o.Rate, 100*o.Share, o.WorkTimeMs)
	g := newGrid(w, phaseTitles...)
	phaseRows(g, "product", o.Product.Phases)
	phaseRows(g, "baseline", o.Baseline.Phases)
	g.flush()
	o.Product.line(w, "product")
	o.Baseline.line(w, "baseline")
}

func (s coldSide) line(w io.Writer, name string) {
	for _, start := range s.Starts {
		_, _ = fmt.Fprintf(w, "%s: %s of %s: %d cold overloads, fair share after %d ms\n", name, start.Phase, start.Host, start.Overloads, start.FullMs)
	}
	_, _ = fmt.Fprintf(w, "%s: failed %d idempotent, %d others, %d of them may-have-run; %d crashes; promises %+v\n",
		name, s.Failed.Idempotent, s.Failed.Others, s.Failed.MayHaveRun, s.Crashes, s.Broken)
}
