package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/workload"
)

const (
	phaseCut    = "cut"
	phaseHealed = "healed"
)

// partitionConfig is what the flags of partition set.
type partitionConfig struct {
	share    float64
	minority int
	length   time.Duration
}

func partitionExperiment() experiment {
	return experiment{
		name:  "partition",
		about: "The links between two groups of data centres carry nothing for a while.",
		bound: 3 * time.Minute,
		prepare: func(flags *flag.FlagSet) runner {
			cfg := &partitionConfig{}
			flags.Float64Var(&cfg.share, "share", 0.1, "load as a `share` of the whole capacity")
			flags.IntVar(&cfg.minority, "minority", 1, "`number` of data centres that are cut off from the others")
			flags.DurationVar(&cfg.length, "phase", 15*time.Second, "`length` of each phase")
			return func(ctx context.Context, b *bench) (outcome, error) { return runPartition(ctx, b, *cfg) }
		},
	}
}

// partitionOutcome is the result of partition. There is no baseline: its
// clients have no links that could be cut.
type partitionOutcome struct {
	Rate        float64         `json:"operationsPerSecond"`
	DataCentres []datacentre.ID `json:"cutOff"`
	Minority    []phaseResult   `json:"minority"`
	Majority    []phaseResult   `json:"majority"`
	// During and After are the times from a publish to in force, in the cut
	// and at the healing: the source is up on both sides.
	During quantiles       `json:"convergenceInCut"`
	After  quantiles       `json:"convergenceAfterHealing"`
	Missed int             `json:"notInForceInTime"`
	Broken workload.Broken `json:"brokenPromises"`
}

const partitionWorkTime = 20 * time.Millisecond

// parted is a fleet whose links can be cut, with a load on either side.
type parted struct {
	bench    *bench
	cfg      partitionConfig
	fleet    *workload.Fleet
	cut      *workload.Cut
	cutOff   []datacentre.ID
	rate     float64
	minority *workload.Tally
	majority *workload.Tally
}

func runPartition(ctx context.Context, b *bench, cfg partitionConfig) (outcome, error) {
	d, err := workload.Named("fyrnet")
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(partitionWorkTime)
	cut := &workload.Cut{}
	s, err := startSide(ctx, b, sideConfig{deployment: d, load: loadFor(d, cfg.share, ""), fleet: workload.FleetConfig{Cut: cut}})
	if err != nil {
		return nil, err
	}
	defer s.close()
	p := &parted{
		bench: b, cfg: cfg, fleet: s.fleet, cut: cut, cutOff: d.DataCentres[:cfg.minority], rate: s.load.Rate,
		minority: workload.NewTally(s.fleet.Record), majority: workload.NewTally(s.fleet.Record),
	}
	out := p.run(ctx, s.load)
	out.Broken.Add(s.tally.Broken(s.fleet, nil, 0))
	return out, nil
}

func (p *parted) run(ctx context.Context, load workload.LoadConfig) *partitionOutcome {
	out := &partitionOutcome{Rate: p.rate, DataCentres: p.cutOff}
	watch := p.fleet.WatchVersions(ctx)
	p.enter(phaseBefore)
	load.Duration = 3 * p.cfg.length
	share := float64(p.cfg.minority) / float64(len(p.fleet.Deployment.DataCentres))
	ended := []func() int64{
		p.start(ctx, load, p.minority, share, true),
		p.start(ctx, load, p.majority, 1-share, false),
	}
	pause(ctx, p.cfg.length)
	p.enter(phaseCut)
	p.cut.Part(func(id host.ID) int {
		if p.isCutOff(p.fleet.CentreOf(id)) {
			return 1
		}
		return 0
	})
	pause(ctx, p.cfg.length/2)
	out.During = p.publish(ctx, out, 1)
	pause(ctx, p.cfg.length/2)
	p.enter(phaseHealed)
	p.cut.Join()
	out.After = p.publish(ctx, out, 2)
	for _, wait := range ended {
		wait()
	}
	p.summarise(out, watch.Stop())
	return out
}

func (p *parted) isCutOff(id datacentre.ID) bool {
	return slices.Contains(p.cutOff, id)
}

func (p *parted) enter(phase string) {
	p.bench.progress("phase %s", phase)
	p.minority.Enter(phase)
	p.majority.Enter(phase)
}

// start puts a side's share of the load on the entries of that side.
func (p *parted) start(ctx context.Context, load workload.LoadConfig, tally *workload.Tally, share float64, cutOff bool) func() int64 {
	load.Rate *= share
	load.Entry = func(m *workload.Member) bool { return p.isCutOff(m.Listing.Place.DataCentre) == cutOff }
	return runLoad(ctx, p.fleet.NewLoad(load, tally))
}

func (p *parted) publish(ctx context.Context, out *partitionOutcome, n int) quantiles {
	took := newLatencies()
	members := p.fleet.Running()
	since := time.Now()
	times, _ := p.fleet.ConvergedAt(ctx, members, p.fleet.Touch(n), since, convergeLimit)
	took.add(times...)
	out.Missed += len(members) - len(times)
	return took.quantiles()
}

func (p *parted) summarise(out *partitionOutcome, older int) {
	for _, phase := range []string{phaseBefore, phaseCut, phaseHealed} {
		out.Minority = append(out.Minority, phaseResult{Phase: phase, Result: p.minority.PhaseResult(phase)})
		out.Majority = append(out.Majority, phaseResult{Phase: phase, Result: p.majority.PhaseResult(phase)})
	}
	out.Broken = p.minority.Broken(p.fleet, nil, older)
	out.Broken.Add(p.majority.Broken(p.fleet, nil, 0))
}

func (o *partitionOutcome) broken() int {
	return o.Broken.Total()
}

func (o *partitionOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%.0f operations/s, work time %v; cut off: %v\n", o.Rate, partitionWorkTime, o.DataCentres)
	g := newGrid(w, phaseTitles...)
	phaseRows(g, "cut off", o.Minority)
	phaseRows(g, "others", o.Majority)
	g.flush()
	_, _ = fmt.Fprintf(w, "publish to in force: in the cut %d nodes, p50 %.0f ms, max %.0f ms; after healing %d nodes, p50 %.0f ms, max %.0f ms; %d not in time; promises %+v\n",
		o.During.Count, o.During.P50Ms, o.During.MaxMs, o.After.Count, o.After.P50Ms, o.After.MaxMs, o.Missed, o.Broken)
}
