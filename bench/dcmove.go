package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/bench/baseline"
	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/workload"
)

// Phases of a data centre's move.
const (
	phaseWarmUp   = "warm-up"
	phaseBefore   = "before"
	phaseLeaving  = "leaving"
	phaseOut      = "out"
	phaseReturned = "returned"
)

// movePhases are the phases that are measured.
var movePhases = []string{phaseBefore, phaseLeaving, phaseOut, phaseReturned}

// moveConfig is what the flags of dc-move set.
type moveConfig struct {
	deployment string
	workTime   time.Duration
	share      float64       // of the capacity of the data centres that stay
	leaving    time.Duration // length of that phase
	length     time.Duration // length of the other phases
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
	Phases       []phaseResult   `json:"phases"`
	Dropped      int64           `json:"dropped"`
	LastWorkMs   int64           `json:"lastWorkAfterMarkMs"`
	Crashes      int             `json:"crashes"`
	Broken       workload.Broken `json:"brokenPromises"`
	P99Growth    float64         `json:"lookupP99MoveOverQuiet"`
	FailedIdem   int             `json:"failedIdempotent"`
	MayHaveRun   int             `json:"mayHaveRun"`
	FailedUnkeyd int             `json:"failedOthers"`
}

// phaseResult is one phase of one side.
type phaseResult struct {
	Phase  string          `json:"phase"`
	Result workload.Result `json:"result"`
}

func runMove(ctx context.Context, b *bench, cfg moveConfig) (outcome, error) {
	d, err := workload.Named(cfg.deployment)
	if err != nil {
		return nil, err
	}
	d = d.WithWorkTime(cfg.workTime)
	out := d.DataCentres[1]
	plan := planLoad(d, out, cfg)
	result := &moveOutcome{
		Deployment: d.Name, WorkTimeMs: cfg.workTime.Milliseconds(), Share: cfg.share,
		Rate: plan.rate, Out: string(out),
	}
	for _, side := range []struct {
		name    string
		plain   bool
		outcome *moveSide
	}{{"product", false, &result.Product}, {"baseline", true, &result.Baseline}} {
		b.progress("%s: %.0f operations a second", side.name, plan.rate)
		if *side.outcome, err = moveOnce(ctx, b, d, plan, cfg, side.plain); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// loadPlan is a load that takes the same share of every service's capacity.
type loadPlan struct {
	out        datacentre.ID
	rate       float64
	operations []workload.Operation
}

// shareUnit is the resolution of operations' shares.
const shareUnit = 100

func planLoad(d workload.Deployment, out datacentre.ID, cfg moveConfig) loadPlan {
	plan := loadPlan{out: out}
	of := map[string]int{} // operations' shares by service
	for _, o := range d.Operations {
		of[o.Service] += o.Share
	}
	for _, o := range d.Operations {
		service := o.Service
		capacity := float64(d.HostsOutside(service, out)*d.Size(service).Slots) / cfg.workTime.Seconds()
		rate := cfg.share * capacity * float64(o.Share) / float64(of[service])
		plan.rate += rate
		o.Share = int(rate * shareUnit)
		plan.operations = append(plan.operations, o)
	}
	return plan
}

// mover runs the move on one side.
type mover struct {
	bench *bench
	fleet *workload.Fleet
	tally *workload.Tally
	cfg   moveConfig
	plan  loadPlan
	plain bool

	absence workload.Absence
}

func moveOnce(ctx context.Context, b *bench, d workload.Deployment, plan loadPlan, cfg moveConfig, plain bool) (moveSide, error) {
	fleet, err := workload.StartFleet(ctx, d, workload.FleetConfig{Logger: b.logger, StartWarm: true, WithoutNodes: plain})
	if err != nil {
		return moveSide{}, err
	}
	defer fleet.Close()
	m := &mover{bench: b, fleet: fleet, tally: workload.NewTally(fleet.Record), cfg: cfg, plan: plan, plain: plain}
	load := workload.LoadConfig{Rate: plan.rate, Operations: plan.operations, Seed: b.seed}
	if plain {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		router, err := plainRouter(ctx, fleet)
		if err != nil {
			return moveSide{}, err
		}
		load.Transport = router
	} else if err := m.warmUp(ctx, load); err != nil {
		return moveSide{}, err
	}
	return m.run(ctx, load)
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
	warmUpShare = 0.15 // of the measured load, while gates are cold
	warmUpLimit = 40 * time.Second
	warmPoll    = 100 * time.Millisecond
)

// warmUp waits for the leases and puts a light load on until every gate is warm.
func (m *mover) warmUp(ctx context.Context, load workload.LoadConfig) error {
	m.bench.progress("waiting for leases and warm gates")
	if err := m.fleet.WaitKeys(ctx); err != nil {
		return err
	}
	m.tally.Enter(phaseWarmUp)
	load.Rate *= warmUpShare
	load.Duration = warmUpLimit
	ctx, cancel := context.WithTimeout(ctx, warmUpLimit)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		m.fleet.NewLoad(load, m.tally).Run(ctx)
	}()
	for !m.fleet.Warm() && ctx.Err() == nil {
		pause(ctx, warmPoll)
	}
	warm := m.fleet.Warm()
	cancel()
	<-loaded
	if !warm {
		return eris.New("gates did not become warm")
	}
	return nil
}

func (m *mover) run(ctx context.Context, load workload.LoadConfig) (moveSide, error) {
	watch := m.fleet.WatchVersions(ctx)
	load.Duration = 3*m.cfg.length + m.cfg.leaving
	running := m.fleet.NewLoad(load, m.tally)
	m.tally.Enter(phaseBefore)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		running.Run(ctx)
	}()
	m.move(ctx)
	<-loaded
	older := watch.Stop()
	return m.summary(running.Dropped(), older), nil
}

// move is what the operators do. The servers are replaced by cold ones while
// the data centre is out.
func (m *mover) move(ctx context.Context) {
	pause(ctx, m.cfg.length)
	m.enter(phaseLeaving)
	m.absence = workload.Absence{DataCentre: m.plan.out, From: time.Now()}
	m.mark(true)
	pause(ctx, m.cfg.leaving)
	m.enter(phaseOut)
	pause(ctx, m.cfg.length/2)
	for _, member := range m.fleet.Members {
		if member.Listing.Place.DataCentre == m.plan.out {
			member.Server.Replace()
		}
	}
	pause(ctx, m.cfg.length/2)
	m.enter(phaseReturned)
	m.absence.To = time.Now()
	m.mark(false)
}

func (m *mover) mark(leaving bool) config.Version {
	return m.fleet.MarkDataCentre(m.plan.out, leaving)
}

func (m *mover) enter(phase string) {
	m.bench.progress("phase %s", phase)
	m.tally.Enter(phase)
}

func (m *mover) summary(dropped int64, older int) moveSide {
	s := moveSide{
		Dropped: dropped, Crashes: m.fleet.Record.Crashes(),
		LastWorkMs: m.fleet.LastWork(m.absence).Milliseconds(),
		Broken:     m.tally.Broken(m.fleet, []workload.Absence{m.absence}, older),
	}
	var quiet, worst float64
	for _, phase := range movePhases {
		r := m.tally.PhaseResult(phase)
		s.Phases = append(s.Phases, phaseResult{Phase: phase, Result: r})
		s.count(r)
		p99 := r.Kinds[m.plan.operations[0].Name].P99Ms
		if phase == phaseBefore {
			quiet = p99
		}
		worst = max(worst, p99)
	}
	if quiet > 0 {
		s.P99Growth = worst / quiet
	}
	return s
}

func (s *moveSide) count(r workload.Result) {
	for _, k := range r.Kinds {
		if k.Idempotent {
			s.FailedIdem += k.Operations - k.Good
		} else {
			s.FailedUnkeyd += k.Operations - k.Good
			s.MayHaveRun += k.Failed["may-have-run"]
		}
	}
}

func (o *moveOutcome) broken() int {
	return o.Product.Broken.Total()
}

func (o *moveOutcome) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: %.0f operations/s, %.0f%% of what stays without %s, work time %d ms\n",
		o.Deployment, o.Rate, 100*o.Share, o.Out, o.WorkTimeMs)
	g := newGrid(w, "side", "phase", "kind", "good", "of", "p50 ms", "p99 ms", "failed")
	o.Product.rows(g, "product")
	o.Baseline.rows(g, "baseline")
	g.flush()
	o.Product.line(w, "product")
	o.Baseline.line(w, "baseline")
}

func (s moveSide) rows(g *grid, side string) {
	for _, p := range s.Phases {
		for name, k := range sorted(p.Result.Kinds) {
			g.row(side, p.Phase, name, num(k.Good), num(k.Operations), decimal(k.P50Ms), decimal(k.P99Ms), fmt.Sprint(k.Failed))
		}
	}
}

func (s moveSide) line(w io.Writer, side string) {
	_, _ = fmt.Fprintf(w, "%s: failed %d idempotent and %d others, %d may-have-run; lookup p99 worst phase over quiet %.2f; last new work %d ms after the mark; %d crashes; %d dropped; promises %+v\n",
		side, s.FailedIdem, s.FailedUnkeyd, s.MayHaveRun, s.P99Growth, s.LastWorkMs, s.Crashes, s.Dropped, s.Broken)
}
