package routing

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
)

// refusalRetryAfter is the Retry-After sent for a service without a usable server.
const refusalRetryAfter = time.Second

// Random is a rand.Source that needs no lock: it uses the global generator of
// math/rand/v2, whose state is per thread.
type Random struct{}

// Uint64 returns a random number.
func (Random) Uint64() uint64 {
	return rand.Uint64()
}

// Pool is the set of servers of one service that this sender uses. It is immutable
// except for the Stats of its servers and firstAttemptsDuringEjection, which
// counts first attempts while a data centre is ejected; every
// ejectionProbeInterval-th one probes it.
type Pool struct {
	config                      PoolConfig
	given                       []Server // as passed to NewPool; compared to detect whether a rebuild is needed, and decides the reason of a refusal
	subset                      []Server // the servers in use, nearest first
	distances                   []datacentre.Distance
	dataCentres                 []uint8 // of each server, as an index within the pool
	firstAttemptsDuringEjection atomic.Uint32
}

// NewPool returns the pool of a sender. Servers that are leaving or down are
// left out; a server without Stats gets new ones.
func NewPool(self datacentre.Place, selfHost host.ID, servers []Server, cfg PoolConfig) *Pool {
	p := &Pool{config: cfg.withDefaults(), given: servers}
	p.subset = subset(self, selfHost, servers, p.config.SubsetSize)
	numbers := map[datacentre.Place]uint8{}
	for i := range p.subset {
		if p.subset[i].Stats == nil {
			p.subset[i].Stats = &Stats{}
		}
		place := p.subset[i].Place
		if _, ok := numbers[place]; !ok {
			numbers[place] = uint8(len(numbers))
		}
		p.distances = append(p.distances, self.DistanceTo(place))
		p.dataCentres = append(p.dataCentres, numbers[place])
	}
	return p
}

// Choose picks a server that is not excluded and counts the request as
// outstanding there until the sender calls Stats.Finish. It returns false if no
// server may be chosen; Refusal returns the reason.
func (p *Pool) Choose(r rand.Source, exclude []host.ID, now time.Time) (*Server, bool) {
	for {
		var set candidateSet
		set.fill(p, exclude, now)
		c := set.pick(p, r)
		if c == nil {
			return nil, false
		}
		if c.limit == 0 {
			c.server.Stats.Begin()
			return c.server, true
		}
		// c.limit is this sender's share of a cold server. A concurrent request may
		// have used it up since fill; if so, choose again.
		if c.server.Stats.tryBegin(c.limit) {
			return c.server, true
		}
	}
}

// Servers returns the subset in use, nearest first. The slice is shared and
// must not be changed.
func (p *Pool) Servers() []Server {
	return p.subset
}

// Refusal returns the error for a request that Choose found no server for.
func (p *Pool) Refusal() *verdict.Error {
	// NotRun: no server was chosen, so nothing was sent.
	return verdict.Refuse(p.refusalReason(), refusalRetryAfter)
}

func (p *Pool) refusalReason() verdict.Reason {
	if len(p.given) == 0 {
		return verdict.ReasonLacksResource
	}
	if len(p.subset) == 0 {
		if slices.ContainsFunc(p.given, func(s Server) bool { return s.Leaving || s.State == host.StateLeaving }) {
			return verdict.ReasonLeaving
		}
		return verdict.ReasonLacksResource
	}
	// Each server of the subset was tried before, reported that it is leaving or down,
	// or is cold with this sender's share used up.
	return verdict.ReasonCold
}
