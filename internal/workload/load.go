package workload

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// LoadConfig says how callers behave.
type LoadConfig struct {
	// Rate is the number of operations started a second. Required.
	Rate float64
	// Duration is the length of the load. Required.
	Duration time.Duration
	// MaxTries is how often one operation is sent at most. Default 4.
	MaxTries int
	// Patience is how long a caller waits for one answer. Default 10 s.
	Patience time.Duration
	// ObeyRetryAfter makes callers wait as they are told; otherwise they send
	// again at once. Default false.
	ObeyRetryAfter bool
	// UnkeyedPercent is the part of operations that are not idempotent and are
	// sent without a key. Default 20; such a caller re-sends only after not-run.
	UnkeyedPercent int
	// MaxInFlight bounds the operations under way; more are counted as
	// dropped. Default 2,000.
	MaxInFlight int
	// Operations replaces the deployment's operations when set.
	Operations []Operation
	// Transport replaces the entry nodes: it takes every request, whatever its
	// host. Default none.
	Transport http.RoundTripper
	// Entry selects the hosts that callers send to. Default all.
	Entry func(*Member) bool
	// Seed makes the callers' choices repeatable. Default 1.
	Seed uint64
}

func (c LoadConfig) withDefaults(f *Fleet) LoadConfig {
	if c.MaxTries == 0 {
		c.MaxTries = 4
	}
	if c.Patience == 0 {
		c.Patience = 10 * time.Second
	}
	if c.UnkeyedPercent == 0 {
		c.UnkeyedPercent = 20
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = 2000
	}
	if len(c.Operations) == 0 {
		c.Operations = f.Deployment.Operations
	}
	if c.Entry == nil {
		c.Entry = func(*Member) bool { return true }
	}
	if c.Seed == 0 {
		c.Seed = 1
	}
	return c
}

// Load is callers' load under way.
type Load struct {
	cfg     LoadConfig
	fleet   *Fleet
	client  *http.Client
	tally   *Tally
	dropped atomic.Int64
	avoid   sync.Map // address -> time.Time until which callers stay away
}

// NewLoad prepares a load on a fleet; its results go to a tally.
func (f *Fleet) NewLoad(cfg LoadConfig, tally *Tally) *Load {
	cfg = cfg.withDefaults(f)
	transport := cfg.Transport
	if transport == nil {
		transport = Transport(cfg.MaxInFlight)
	}
	return &Load{
		cfg:    cfg,
		fleet:  f,
		client: &http.Client{Transport: transport, Timeout: cfg.Patience},
		tally:  tally,
	}
}

// Transport returns the connections of callers: up to so many idle ones a host.
func Transport(idle int) *http.Transport {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// Run puts the load on the fleet and waits for the last operation.
func (l *Load) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration)
	defer cancel()
	random := rand.New(rand.NewPCG(l.cfg.Seed, 0))
	slots := make(chan struct{}, l.cfg.MaxInFlight)
	var work sync.WaitGroup
	for range arrivals(ctx, l.cfg.Rate) {
		select {
		case slots <- struct{}{}:
		default:
			l.dropped.Add(1)
			continue
		}
		op := l.draw(random)
		work.Go(func() {
			l.perform(op)
			<-slots
		})
	}
	work.Wait()
	l.client.CloseIdleConnections()
}

// Perform sends one operation, with a key or without, until it is answered or
// given up.
func (l *Load) Perform(o Operation, keyed bool) {
	random := rand.New(rand.NewPCG(l.cfg.Seed, rand.Uint64()))
	p := l.performance(o, random)
	p.keyed = keyed
	l.perform(p)
}

// Dropped returns the operations that were not started for want of room.
func (l *Load) Dropped() int64 {
	return l.dropped.Load()
}

// arrivals yields at an even rate, catching up after a late wake-up, until the
// context ends.
func arrivals(ctx context.Context, rate float64) func(func(struct{}) bool) {
	return func(yield func(struct{}) bool) {
		started := time.Now()
		interval := time.Duration(float64(time.Second) / rate)
		for n := 0; ; n++ {
			due := started.Add(time.Duration(n) * interval)
			wait := time.Until(due)
			if wait > 0 {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return
				}
			}
			if ctx.Err() != nil || !yield(struct{}{}) {
				return
			}
		}
	}
}

// draw picks an operation by share.
func (l *Load) draw(random *rand.Rand) *performance {
	total := 0
	for _, o := range l.cfg.Operations {
		total += o.Share
	}
	n := random.IntN(total)
	for _, o := range l.cfg.Operations {
		if n < o.Share {
			return l.performance(o, random)
		}
		n -= o.Share
	}
	return l.performance(l.cfg.Operations[0], random)
}

func (l *Load) performance(o Operation, random *rand.Rand) *performance {
	p := &performance{operation: o, id: o.Name + "." + uuid.NewString(), phase: l.tally.Phase(), random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
	if !o.Idempotent && random.IntN(100) >= l.cfg.UnkeyedPercent {
		p.keyed = true
	}
	return p
}

// avoidFor is how long callers stay away from an entry that refused or closed
// a connection.
const avoidFor = 5 * time.Second

// entry picks an entry node as a caller would: any that it does not avoid.
func (l *Load) entry(random *rand.Rand) string {
	if l.cfg.Transport != nil {
		return "mesh.invalid"
	}
	members := l.fleet.Members
	offset := random.IntN(len(members))
	fallback := ""
	for i := range members {
		m := members[(offset+i)%len(members)]
		n := m.Node()
		if n == nil || !l.cfg.Entry(m) {
			continue
		}
		address := n.CallersAddress()
		fallback = address
		until, avoided := l.avoid.Load(address)
		if !avoided || time.Now().After(until.(time.Time)) {
			return address
		}
	}
	return fallback
}
