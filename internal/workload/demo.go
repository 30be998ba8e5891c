package workload

import (
	"context"
	"time"

	"boragefall/internal/link"
)

// DemoConfig says how the demonstration runs.
type DemoConfig struct {
	// Fleet is the fleet's configuration.
	Fleet FleetConfig
	// For is the length of the load. Default 10 s.
	For time.Duration
	// Rate is the number of operations a second. Default 300.
	Rate float64
	// Progress is told what happens. Required.
	Progress func(string)
}

// DemoResult is the summary of a demonstration.
type DemoResult struct {
	Deployment      string  `json:"deployment"`
	Nodes           int     `json:"nodes"`
	Seconds         float64 `json:"seconds"`
	Result          Result  `json:"requests"`
	ConvergenceMs   []int64 `json:"convergenceMs"`
	Converged       bool    `json:"converged"`
	BadRejected     bool    `json:"badVersionRejected"`
	ControlPerNode  float64 `json:"controlBytesPerNodePerSecond"`
	SourceReads     int64   `json:"sourceReads"`
	OutDataCentre   string  `json:"dataCentreTakenOut"`
	LastWorkAfterMs int64   `json:"lastWorkAfterTakeOutMs"`
	Broken          Broken  `json:"brokenPromises"`
	BrokenTotal     int     `json:"brokenPromisesTotal"`
}

// Parts of a demonstration's time, in percent, at which things happen.
const (
	changeAt  = 8
	takeOutAt = 15
	badAt     = 40
	returnAt  = 85
)

// Demo runs a deployment under load, publishes versions, takes a data centre
// out and back, and counts.
func Demo(ctx context.Context, d Deployment, cfg DemoConfig) (DemoResult, error) {
	if cfg.For == 0 {
		cfg.For = 10 * time.Second
	}
	if cfg.Rate == 0 {
		cfg.Rate = 300
	}
	cfg.Progress("starting the fleet")
	fleet, err := StartFleet(ctx, d, cfg.Fleet)
	if err != nil {
		return DemoResult{}, err
	}
	defer fleet.Close()
	cfg.Progress("waiting for the leases")
	if err := fleet.WaitKeys(ctx); err != nil {
		return DemoResult{}, err
	}
	run := &demo{fleet: fleet, cfg: cfg, tally: NewTally(fleet.Record)}
	return run.run(ctx), nil
}

type demo struct {
	fleet    *Fleet
	cfg      DemoConfig
	tally    *Tally
	absence  Absence
	result   DemoResult
	started  time.Time
	outcomes []time.Duration
}

func (d *demo) run(ctx context.Context) DemoResult {
	watch := d.fleet.WatchVersions(ctx)
	d.result.Converged = true
	sentBefore := d.controlBytes()
	d.started = time.Now()
	d.cfg.Progress("load starts")
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		d.fleet.NewLoad(LoadConfig{Rate: d.cfg.Rate, Duration: d.cfg.For}, d.tally).Run(ctx)
	}()
	d.operate(ctx)
	<-loaded
	elapsed := time.Since(d.started)
	sent := d.controlBytes() - sentBefore
	older := watch.Stop()
	d.summarise(elapsed, sent, older)
	return d.result
}

// operate does what operators do.
func (d *demo) operate(ctx context.Context) {
	out := d.fleet.Deployment.DataCentres[1]
	d.waitUntil(ctx, changeAt)
	d.publish(ctx, func() { d.fleet.Touch(1) })
	d.waitUntil(ctx, takeOutAt)
	d.cfg.Progress("taking out " + string(out))
	d.absence = Absence{DataCentre: out, From: time.Now()}
	d.publish(ctx, func() { d.fleet.MarkDataCentre(out, true) })
	d.waitUntil(ctx, badAt)
	d.publishBad(ctx)
	d.waitUntil(ctx, returnAt)
	d.cfg.Progress("returning " + string(out))
	d.absence.To = time.Now()
	d.publish(ctx, func() { d.fleet.MarkDataCentre(out, false) })
}

func (d *demo) waitUntil(ctx context.Context, percent int) {
	due := d.started.Add(d.cfg.For * time.Duration(percent) / 100)
	select {
	case <-time.After(time.Until(due)):
	case <-ctx.Done():
	}
}

// publish makes a change and measures until it is in force everywhere.
func (d *demo) publish(ctx context.Context, change func()) {
	since := time.Now()
	change()
	version := d.fleet.version(d.fleet.Platform.Revision())
	times, all := d.fleet.Converged(ctx, version, since, LeavingBound)
	d.result.Converged = d.result.Converged && all
	d.outcomes = append(d.outcomes, times...)
	var slowest time.Duration
	for _, t := range times {
		slowest = max(slowest, t)
	}
	d.result.ConvergenceMs = append(d.result.ConvergenceMs, slowest.Milliseconds())
}

// publishBad publishes a version that must be refused, and then mends it.
func (d *demo) publishBad(ctx context.Context) {
	d.cfg.Progress("publishing a bad version")
	const name = "85-bad.json"
	d.fleet.Platform.Put(name, []byte(`{"routes":{"broken":{"match":{"path":"/x"},"service":"nowhere"}}}`))
	bad := d.fleet.version(d.fleet.Platform.Revision())
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	d.result.BadRejected = true
	for _, m := range d.fleet.Members {
		if n := m.Node(); n != nil && n.Version() == bad {
			d.result.BadRejected = false
		}
	}
	d.publish(ctx, func() { d.fleet.Platform.Remove(name) })
}

func (d *demo) controlBytes() int64 {
	var sum int64
	for _, m := range d.fleet.Members {
		if n := m.Node(); n != nil {
			sum += n.Counter().Sent(link.ClassControl)
		}
	}
	return sum
}

func (d *demo) summarise(elapsed time.Duration, sent int64, older int) {
	r := &d.result
	r.Deployment = d.fleet.Deployment.Name
	r.Nodes = len(d.fleet.Members)
	r.Seconds = elapsed.Seconds()
	r.Result = d.tally.Result()
	r.ControlPerNode = float64(sent) / elapsed.Seconds() / float64(r.Nodes)
	r.SourceReads, _ = d.fleet.Platform.Reads()
	r.OutDataCentre = string(d.absence.DataCentre)
	r.LastWorkAfterMs = d.fleet.LastWork(d.absence).Milliseconds()
	r.Broken = d.tally.Broken(d.fleet, []Absence{d.absence}, older)
	r.BrokenTotal = r.Broken.Total()
	if !r.Converged || !r.BadRejected {
		r.BrokenTotal++
	}
}
