// Package balance chooses the backend server that a request is sent to. A
// choice is a hint: the gate beside the server decides whether it runs.
package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/mesh"
)

const (
	// transferCostPerKB is what a kilobyte between data centres weighs against
	// waiting: such bytes are billed, those inside one are not.
	transferCostPerKB = 15 * time.Millisecond
	// maxTransferCost bounds that weight below lateCost: a request that the own data
	// centre would serve late goes to another that serves it in time.
	maxTransferCost = 4 * time.Second
	// lateCost is what an answer after the objective weighs, and lateShare the part
	// of the objective from which one is expected to be late: times vary.
	lateCost      = 5 * time.Second
	lateThreshold = 0.8
	// dataCentreRoundTrip is the way between data centres and back.
	dataCentreRoundTrip = 2 * time.Millisecond
	// defaultServiceTime is the time of a request at a server that nothing is known of.
	defaultServiceTime = 50 * time.Millisecond
	// loadDecay is the time in which what a gate told of its load loses most of
	// its worth.
	loadDecay = time.Second
	// serviceTimeDecay is the same for a server's pace, which changes more slowly.
	serviceTimeDecay = 4 * time.Second
	// delayDecay is the time in which a long way to a gate loses most of its worth: a
	// host that is slow or cut off is so for seconds, and each entry asks a server of a
	// large service only every few seconds.
	delayDecay = 4 * time.Second
	// utilizationPenalty weighs a busy server with free slots against an idle one; servers
	// slow down towards their last slots.
	utilizationPenalty = 0.4
	// failureCost is what a server that fails every request weighs.
	failureCost = 2 * time.Second
	// silenceFactor is how many times its pace a server may be silent with a
	// request outstanding; what goes beyond that weighs as it is.
	silenceFactor = 3
	// suspectCost is what a server weighs whose record went with the store.
	suspectCost = 100 * time.Millisecond
	// costJitter is the share by which weights are varied, so that entries that know
	// the same do not all choose the same.
	costJitter = 0.15
	// coldRateShare is the part of a cold server's rate that all entries together
	// plan to use.
	coldRateShare = 0.9
	// unavailableCost and coldRateExceededCost are weights beyond every time of a request, in
	// seconds, for servers that are to be used only when no other is left.
	unavailableCost, coldRateExceededCost = 1000, 100
	// stateTTL is how long an unlisted server's state is kept.
	stateTTL = 30 * time.Second
)

// Request is what the choice knows of a request.
type Request struct {
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// AnswerBytes is the size that the answer is expected to have.
	AnswerBytes int64
	// Objective is the time left in which an answer is most useful.
	Objective time.Duration
	// LocalAddress is the address of the server on this host; no body has to go there.
	LocalAddress string
	// Class groups requests that gates treat alike when they are full.
	Class string
	// Excluded holds the servers that are not to be chosen again.
	Excluded []mesh.ServerID
	// ColdRate is the rate in requests a second that a cold server bears.
	ColdRate float64
	// Entries is the number of nodes that share the servers.
	Entries int
}

// Balancer chooses for one node. It is safe for concurrent use.
type Balancer struct {
	dataCentre string
	random     func() float64

	mu      sync.Mutex
	servers map[mesh.ServerID]*serverState
	sweptAt time.Time
}

// serverState is what this node knows of a serverState itself.
type serverState struct {
	outstanding int
	// silentSince is when the server was last heard of, or when the oldest
	// request since then went to it.
	silentSince   time.Time
	load          contract.Load
	loadAt        time.Time
	sentSinceLoad int
	avoidUntil    time.Time
	// closedUntil is the time until which the gate refuses all requests.
	closedUntil time.Time
	// fullUntil holds, by class, the time until which the gate refuses them.
	fullUntil map[string]time.Time
	// tokens are the requests that may go to the server while it is cold.
	tokens      float64
	refilledAt  time.Time
	lastUsedAt  time.Time
	serviceTime time.Duration
	// networkDelay is the way to the server's gate and back when it was last long, at delayed.
	networkDelay    time.Duration
	delayMeasuredAt time.Time
}

// New returns a balancer of a node in a data centre. random draws from 0 to 1 and is
// called by one goroutine at a time.
func New(dataCentre string, random func() float64) *Balancer {
	return &Balancer{dataCentre: dataCentre, random: random, servers: map[mesh.ServerID]*serverState{}}
}

// Choose returns the best of the listed servers and counts the request as
// outstanding there until Finish. It returns nil when there is none, and after
// what time there may be one when that is only because gates said that they
// are full.
func (b *Balancer) Choose(listed []*catalog.Listing, r Request, now time.Time) (*catalog.Listing, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	meanServiceTime := b.meanServiceTime(listed)
	var best *catalog.Listing
	var retryIn time.Duration
	bestCost := math.Inf(1)
	for _, l := range listed {
		if slices.Contains(r.Excluded, l.ID) {
			continue
		}
		if wait := b.stateOf(l.ID, now).refusalRemaining(r.Class, now); wait > 0 {
			if retryIn == 0 || wait < retryIn {
				retryIn = wait
			}
			continue
		}
		cost := b.cost(l, r, meanServiceTime, now)
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	if best == nil || retryIn > 0 && bestCost >= unavailableCost {
		return nil, retryIn
	}
	s := b.stateOf(best.ID, now)
	if s.outstanding == 0 {
		s.silentSince = now
	}
	s.outstanding++
	s.sentSinceLoad++
	s.tokens = max(s.tokens-1, 0)
	return best, 0
}

// refusalRemaining returns for how long the gate said that it refuses a class.
func (s *serverState) refusalRemaining(class string, now time.Time) time.Duration {
	return max(s.closedUntil.Sub(now), s.fullUntil[class].Sub(now))
}

// MarkFull notes that a gate refuses requests of a class for a time.
func (b *Balancer) MarkFull(id mesh.ServerID, class string, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id, now)
	for known, end := range s.fullUntil {
		if now.After(end) {
			delete(s.fullUntil, known)
		}
	}
	s.fullUntil[class] = until
}

// MarkClosed notes that a gate refuses all requests for a time.
func (b *Balancer) MarkClosed(id mesh.ServerID, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id, now).closedUntil = until
}

// Finish ends an outstanding request. load is nil when the gate told none. delay is the
// time that the request and its answer were on the way; without a word of the gate it is
// the time until the request was given up, of which the server may have used a part.
func (b *Balancer) Finish(id mesh.ServerID, load *contract.Load, delay time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id, now)
	s.outstanding--
	if load == nil {
		s.recordDelay(delay-silenceFactor*max(s.serviceTime, defaultServiceTime), now)
		return
	}
	s.recordDelay(delay, now)
	s.load, s.loadAt, s.sentSinceLoad, s.silentSince = *load, now, 0, now
	if load.Service > 0 {
		s.serviceTime = load.Service
	}
}

// recordDelay takes in how long the way to the server was. A longer one counts at once, a
// shorter one as far as the longer one has faded.
func (s *serverState) recordDelay(delay time.Duration, now time.Time) {
	if delay >= s.expectedDelay(now) {
		s.networkDelay, s.delayMeasuredAt = delay, now
	}
}

// expectedDelay returns the delay that is expected at a moment.
func (s *serverState) expectedDelay(now time.Time) time.Duration {
	return time.Duration(float64(s.networkDelay) * decay(now.Sub(s.delayMeasuredAt), delayDecay))
}

// Avoid keeps a server from being chosen for a time while there are others.
func (b *Balancer) Avoid(id mesh.ServerID, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id, now).avoidUntil = until
}

func (b *Balancer) stateOf(id mesh.ServerID, now time.Time) *serverState {
	s := b.servers[id]
	if s == nil {
		s = &serverState{tokens: b.random(), refilledAt: now, fullUntil: map[string]time.Time{}}
		b.servers[id] = s
	}
	s.lastUsedAt = now
	return s
}

// sweep forgets servers that were not looked at for a time.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < stateTTL {
		return
	}
	b.sweptAt = now
	for id, s := range b.servers {
		if s.outstanding <= 0 && now.Sub(s.lastUsedAt) > stateTTL {
			delete(b.servers, id)
		}
	}
}

// meanServiceTime is the mean pace of the listed servers.
func (b *Balancer) meanServiceTime(listed []*catalog.Listing) time.Duration {
	sum, count := time.Duration(0), 0
	for _, l := range listed {
		if s := b.servers[l.ID]; s != nil && s.serviceTime > 0 {
			sum += s.serviceTime
			count++
		}
	}
	if count == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(count)
}

// cost returns the expected time until an answer in seconds, with what else
// speaks against a server added as time.
func (b *Balancer) cost(l *catalog.Listing, r Request, meanServiceTime time.Duration, now time.Time) float64 {
	s := b.stateOf(l.ID, now)
	age := now.Sub(s.loadAt)
	serviceTime := meanServiceTime
	if s.serviceTime > 0 {
		serviceTime += time.Duration(float64(s.serviceTime-meanServiceTime) * decay(age, serviceTimeDecay))
	}
	slots := max(l.Slots, 1)
	reportedLoad := float64(s.load.Running+s.load.Queued) * decay(age, loadDecay)
	busy := max(reportedLoad+float64(s.sentSinceLoad), float64(s.outstanding))
	cost := serviceTime.Seconds() * (1 + utilizationPenalty*min(busy/float64(slots), 1))
	if excess := busy + 1 - float64(slots); excess > 0 {
		cost += serviceTime.Seconds() * excess / float64(slots)
	}
	if s.load.BodyRate > 0 && r.BodyBytes > 0 && l.Address != r.LocalAddress {
		cost += s.load.BodyWait.Seconds()*decay(age, loadDecay) + float64(r.BodyBytes)/float64(s.load.BodyRate)
	}
	if s.load.BodyRate > 0 && r.AnswerBytes >= contract.LargeAnswer {
		cost += s.load.AnswerWait.Seconds()*decay(age, loadDecay) + float64(r.AnswerBytes)/float64(s.load.BodyRate)
	}
	cost += s.expectedDelay(now).Seconds()
	if r.Objective > 0 && cost > lateThreshold*r.Objective.Seconds() {
		cost += lateCost.Seconds()
	}
	cost += failureCost.Seconds() * s.load.Failing * decay(age, serviceTimeDecay)
	if s.outstanding > 0 {
		// A host that lost power, or stands still, says nothing.
		cost += max(now.Sub(s.silentSince).Seconds()-silenceFactor*serviceTime.Seconds(), 0)
	}
	if l.DataCentre != b.dataCentre {
		kilobytes := float64(max(r.BodyBytes, 0)+r.AnswerBytes) / 1024
		cost += dataCentreRoundTrip.Seconds() + min(transferCostPerKB.Seconds()*kilobytes, maxTransferCost.Seconds())
	}
	if l.Suspect {
		cost += suspectCost.Seconds()
	}
	cost *= 1 + costJitter*(2*b.random()-1)
	return cost + b.availabilityCost(l, s, r, now)
}

// availabilityCost is the weight that keeps a server for the time when no other is left.
func (b *Balancer) availabilityCost(l *catalog.Listing, s *serverState, r Request, now time.Time) float64 {
	unusable := s.load.State == host.StateLeaving || s.load.State == host.StateDown
	if now.Before(s.avoidUntil) || unusable && now.Sub(s.loadAt) < loadDecay {
		return unavailableCost
	}
	cold := now.Before(l.ColdUntil) || s.load.State == host.StateCold && now.Sub(s.loadAt) < loadDecay
	if !cold || r.ColdRate <= 0 {
		return 0
	}
	rate := coldRateShare * r.ColdRate / float64(max(r.Entries, 1))
	s.tokens = min(s.tokens+rate*now.Sub(s.refilledAt).Seconds(), 1)
	s.refilledAt = now
	if s.tokens < 1 {
		return coldRateExceededCost
	}
	return 0
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}
