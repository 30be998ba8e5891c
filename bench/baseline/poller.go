package baseline

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/host"
)

// pollBudget is far above what a poller reads, so that its own client does not
// hold it back, in calls a second.
const pollBudget = 1000

// PollerConfig describes a poller.
type PollerConfig struct {
	// URL is the platform's base URL. Required.
	URL string
	// Interval is the time between two polls. Required.
	Interval time.Duration
}

// Poller reads the whole configuration and the host list at an even interval.
type Poller struct {
	cfg      PollerConfig
	client   *configservice.Client
	snapshot atomic.Pointer[config.Snapshot]
	hosts    atomic.Pointer[host.List]
	failed   atomic.Int64
}

// NewPoller returns a poller that has read nothing.
func NewPoller(cfg PollerConfig) *Poller {
	return &Poller{
		cfg:    cfg,
		client: configservice.NewClient(configservice.Config{BaseURL: cfg.URL, ReadsPerSecond: pollBudget, ReadBurst: pollBudget}, nil),
	}
}

// Run polls until the context ends. The first poll is at a random moment of
// the first interval, so that pollers do not move in step.
func (p *Poller) Run(ctx context.Context) {
	timer := time.NewTimer(rand.N(p.cfg.Interval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if err := p.Poll(ctx); err != nil {
			p.failed.Add(1)
		}
		timer.Reset(p.cfg.Interval)
	}
}

// Poll reads once.
func (p *Poller) Poll(ctx context.Context) error {
	var held []config.File
	if s := p.snapshot.Load(); s != nil {
		held = s.Files
	}
	folder, err := p.client.ReadConfig(ctx, held)
	if err != nil {
		return err
	}
	if s, report := config.Build(folder.Revision, folder.Files); report.OK() {
		p.snapshot.Store(s)
	}
	list, err := p.client.ReadHosts(ctx)
	if err != nil {
		return err
	}
	return p.storeHosts(list)
}

// Version returns the version in force, the zero version before the first.
func (p *Poller) Version() config.Version {
	if s := p.snapshot.Load(); s != nil {
		return s.Version
	}
	return config.Version{}
}

// Failed returns the number of polls that failed.
func (p *Poller) Failed() int64 {
	return p.failed.Load()
}
