// Package balance chooses the backend server to which a request is sent. The choice is a
// hint: the gate beside the server decides whether the request runs.
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
	// transferCostPerKB is the cost of a kilobyte sent between data centres, in service
	// times: such bytes are billed, those within a data centre are not, and a longer wait
	// matters less to requests that take longer.
	transferCostPerKB = 0.15
	// requestOverheadKB is the size of the headers and framing of a request and its
	// answer.
	requestOverheadKB = 1
	// maxTransferCost bounds the transfer cost below lateCost, so that a request which
	// its own data centre would serve late goes to another one that serves it in time.
	maxTransferCost = 4 * time.Second
	// lateCost is the cost of an answer after the objective. lateThreshold is the share
	// of the objective beyond which an answer is expected to be late, since service times
	// vary.
	lateCost      = 5 * time.Second
	lateThreshold = 0.8
	// localThreshold is the share of the objective within which a server of the node's own
	// data centre is chosen before any other: a faster answer from elsewhere gains the
	// caller nothing, and its bytes are billed. Service times vary by about a third, so
	// nine of ten such requests meet their objective.
	localThreshold = 0.6
	// answerReserveShare is the share of the time until the objective by which a large
	// answer is to be sent earlier. It is the largest that gates use, so that a gate which
	// is skipped for lack of link capacity would have refused the request.
	answerReserveShare = 1.0 / 3
	// dataCentreRoundTrip is the network round-trip time between data centres.
	dataCentreRoundTrip = 2 * time.Millisecond
	// defaultServiceTime is the service time assumed for a server before any is known.
	defaultServiceTime = 50 * time.Millisecond
	// loadDecay is the time constant with which a load report loses its weight.
	loadDecay = time.Second
	// serviceTimeDecay is the time constant for a server's service time, which changes
	// more slowly.
	serviceTimeDecay = 4 * time.Second
	// usualTimeDecay is the time constant for the service time at usual speed, which
	// differs from server to server and rarely changes.
	usualTimeDecay = 30 * time.Second
	// slowdownDecay is the time constant for a slowdown: slow periods last 0.6 s.
	slowdownDecay = 300 * time.Millisecond
	// minSlowdown and maxSlowdown bound the slowdown that a gate reports, in percent.
	minSlowdown, maxSlowdown = 25, 2000
	// delayDecay is the time constant for a long network delay to a gate: a host that is
	// slow or cut off stays so for seconds, and each entry node sends to a server of a
	// large service only every few seconds.
	delayDecay = 4 * time.Second
	// utilizationWeight is the weight of a load report in the mean utilization.
	utilizationWeight = 0.05
	// utilizationPenalty is the relative cost of a busy server with free slots over an
	// idle one: servers slow down towards their last slots.
	utilizationPenalty = 0.4
	// crowdingCost is the cost of a server without a free slot, in mean service times: its
	// gate refuses the request, and another one has to be asked.
	crowdingCost = 2
	// failureCost is the cost of a server that fails every request.
	failureCost = 2 * time.Second
	// silenceFactor is the number of service times that a server may be silent with a
	// request outstanding. Silence beyond that is added to its cost.
	silenceFactor = 3
	// suspectCost is the cost of a server whose record was lost when the store failed.
	suspectCost = 100 * time.Millisecond
	// costJitter is the share by which costs are randomly varied, so that entry nodes
	// with the same information do not all choose the same server.
	costJitter = 0.15
	// coldRateShare is the share of a cold server's rate that all entry nodes together
	// plan to use.
	coldRateShare = 0.9
	// unavailableCost and coldRateExceededCost are costs in seconds above any time that a
	// request takes, for servers that are chosen only when no other is left.
	unavailableCost, coldRateExceededCost = 1000, 100
	// maxLimitWait bounds the cost of a server that accepts almost no requests, below that
	// of servers that are chosen last.
	maxLimitWait = 10 * time.Second
	// fullRecheckInterval is the time after which a gate that expects no room for longer is
	// asked again.
	fullRecheckInterval = time.Second
	// stateTTL is how long the state of an unlisted server is kept.
	stateTTL = 30 * time.Second
)

// Request describes a request to the balancer.
type Request struct {
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// AnswerBytes is the expected size of the answer.
	AnswerBytes int64
	// Objective is the time left in which an answer is most useful.
	Objective time.Duration
	// LocalAddress is the address of the server on this host; a body for it crosses no
	// link.
	LocalAddress string
	// Route groups requests with similar work.
	Route string
	// Class groups requests that a full gate refuses alike.
	Class string
	// Excluded holds the servers that must not be chosen, since they were tried already.
	Excluded []mesh.ServerID
	// ColdRate is the rate in requests a second that a cold server can serve.
	ColdRate float64
	// Senders is the number of nodes that share the servers.
	Senders int
}

// Balancer chooses servers for one node. It is safe for concurrent use.
type Balancer struct {
	dataCentre string
	random     func() float64

	mu      sync.Mutex
	servers map[mesh.ServerID]*serverState
	// utilization is the mean share of busy slots in recent reports of warm servers; servers without
	// a recent one are expected to be as busy as the others.
	utilization float64
	work        routeWork
	sweptAt     time.Time
}

// serverState is what this node has observed of a server.
type serverState struct {
	outstanding int
	// silentSince is the time of the server's last answer or, if later, of the first
	// request that became outstanding since.
	silentSince   time.Time
	load          contract.Load
	loadAt        time.Time
	sentSinceLoad int
	// answerBytesSinceLoad is the expected size of the large answers to the requests sent
	// since the last load report.
	answerBytesSinceLoad int64
	ejectedUntil         time.Time
	// closedUntil is the time until which the gate refuses all requests.
	closedUntil time.Time
	// full holds, by class, for how long the gate refuses requests.
	full map[string]fullMark
	// tokens is the number of requests that may be sent to the server while it is cold.
	tokens      float64
	refilledAt  time.Time
	lastUsedAt  time.Time
	serviceTime time.Duration
	// networkDelay is the last long round-trip delay to the server's gate, measured at
	// delayMeasuredAt.
	networkDelay    time.Duration
	delayMeasuredAt time.Time
}

// fullMark is a gate's statement that it refuses a class of requests.
type fullMark struct {
	// until is when the gate expects room, and askAgainAt when it is asked again, which is
	// sooner if until is far away: the server's limit may end before.
	until, askAgainAt time.Time
}

// New returns the balancer of a node in a data centre. random returns values from 0 to 1
// and is called by one goroutine at a time.
func New(dataCentre string, random func() float64) *Balancer {
	return &Balancer{dataCentre: dataCentre, random: random, servers: map[mesh.ServerID]*serverState{}, work: newRouteWork()}
}

// Choose returns the best of the listed servers and counts the request as outstanding
// there until Finish. It returns nil if there is no usable server. If that is only
// because gates reported that they are full, it also returns the time after which one may
// have capacity.
func (b *Balancer) Choose(listed []*catalog.Listing, r Request, now time.Time) (*catalog.Listing, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	meanServiceTime, work := b.meanServiceTime(listed), b.work.of(r.Route)
	choice := b.newSelection(r)
	for _, l := range listed {
		if slices.Contains(r.Excluded, l.ID) {
			continue
		}
		a := b.assess(l, r, meanServiceTime, work, now)
		choice.consider(l, &a)
	}
	best, retryIn := choice.result()
	if best == nil {
		return nil, retryIn
	}
	s := b.stateOf(best.ID, now)
	if s.outstanding == 0 {
		s.silentSince = now
	}
	s.outstanding++
	s.sentSinceLoad++
	if r.AnswerBytes >= contract.LargeAnswerBytes {
		s.answerBytesSinceLoad += r.AnswerBytes
	}
	s.tokens = max(s.tokens-1, 0)
	return best, 0
}

// assess weighs a server for a request.
func (b *Balancer) assess(l *catalog.Listing, r Request, meanServiceTime time.Duration, work float64, now time.Time) assessment {
	s := b.stateOf(l.ID, now)
	w := waits{closed: s.closedUntil.Sub(now), full: s.fullFor(r.Class, now), link: s.answerExcess(r, now)}
	if w.longest() > 0 {
		return assessment{waits: w}
	}
	return assessment{cost: b.cost(l, r, meanServiceTime, work, now)}
}

// fullFor returns the time after which the gate expects room for a class, or 0 if it may be
// asked now.
func (s *serverState) fullFor(class string, now time.Time) time.Duration {
	mark := s.full[class]
	if now.Before(mark.askAgainAt) {
		return mark.until.Sub(now)
	}
	return 0
}

// MarkFull records that a gate refuses requests of a class until a given time.
func (b *Balancer) MarkFull(id mesh.ServerID, class string, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id, now)
	for known, mark := range s.full {
		if now.After(mark.askAgainAt) {
			delete(s.full, known)
		}
	}
	mark := fullMark{until: until, askAgainAt: until}
	if limit := now.Add(fullRecheckInterval); mark.askAgainAt.After(limit) {
		mark.askAgainAt = limit
	}
	s.full[class] = mark
}

// MarkClosed records that a gate refuses all requests until a given time.
func (b *Balancer) MarkClosed(id mesh.ServerID, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id, now).closedUntil = until
}

// Finish ends an outstanding request. load is nil if the gate reported none. delay is the
// time that the request and its answer spent on the network. Without an answer from
// the gate it is the time until the request was given up, part of which the server may
// have used.
func (b *Balancer) Finish(id mesh.ServerID, load *contract.Load, delay time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id, now)
	s.outstanding--
	if s.outstanding <= 0 {
		// No answer is left to send. A gate that sends no reports would otherwise never be
		// asked for large answers again.
		s.answerBytesSinceLoad = 0
	}
	if load == nil {
		s.recordDelay(delay-silenceFactor*max(s.serviceTime, defaultServiceTime), now)
		return
	}
	s.recordDelay(delay, now)
	s.load, s.loadAt, s.sentSinceLoad, s.answerBytesSinceLoad, s.silentSince = *load, now, 0, 0, now
	if load.Limit > 0 && load.State == host.StateWarm {
		share := float64(load.Running+load.Queued) / s.concurrency(load.Limit)
		b.utilization += utilizationWeight * (min(share, 1) - b.utilization)
	}
	if load.ServiceTime > 0 {
		s.serviceTime = load.ServiceTime
	}
}

// recordDelay records a network delay to the server. A longer delay than
// expected counts at once, a shorter one only once the longer one has decayed below it.
func (s *serverState) recordDelay(delay time.Duration, now time.Time) {
	if delay >= s.expectedDelay(now) {
		s.networkDelay, s.delayMeasuredAt = delay, now
	}
}

// expectedDelay returns the network delay that is expected at a given time.
func (s *serverState) expectedDelay(now time.Time) time.Duration {
	return time.Duration(float64(s.networkDelay) * decay(now.Sub(s.delayMeasuredAt), delayDecay))
}

// limitWait returns how long a request may wait because of the limit that the server
// states. age is the age of the last load report.
func (s *serverState) limitWait(age time.Duration) time.Duration {
	if !s.load.RateLimit.Stated {
		return 0
	}
	wait := max(s.load.StartWait-age, 0)
	if s.load.RateLimit.PerSecond > 0 {
		seconds := min(float64(s.sentSinceLoad)/s.load.RateLimit.PerSecond, maxLimitWait.Seconds())
		wait += time.Duration(seconds * float64(time.Second))
	}
	return min(wait, maxLimitWait)
}

// RateLimit returns the latest known limit that a server stated.
func (b *Balancer) RateLimit(id mesh.ServerID) contract.RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		return s.load.RateLimit
	}
	return contract.RateLimit{}
}

// Eject keeps a server from being chosen until a given time while others are available.
func (b *Balancer) Eject(id mesh.ServerID, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id, now).ejectedUntil = until
}

func (b *Balancer) stateOf(id mesh.ServerID, now time.Time) *serverState {
	s := b.servers[id]
	if s == nil {
		s = &serverState{tokens: b.random(), refilledAt: now, full: map[string]fullMark{}}
		b.servers[id] = s
	}
	s.lastUsedAt = now
	return s
}

// sweep discards the state of servers that were not used for stateTTL.
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

// meanServiceTime returns the mean service time of the listed servers.
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

// cost returns the expected time until an answer in seconds, with other disadvantages of
// a server added as time. work is the work of the request relative to the mean.
func (b *Balancer) cost(l *catalog.Listing, r Request, meanServiceTime time.Duration, work float64, now time.Time) cost {
	var c cost
	s := b.stateOf(l.ID, now)
	age := now.Sub(s.loadAt)
	serviceTime := s.expectedServiceTime(meanServiceTime, age)
	concurrency := s.concurrency(l.Slots)
	busy := b.expectedLoad(s, concurrency, age)
	c.add(partCrowding, meanServiceTime.Seconds()*crowdingCost*crowding(min(busy/concurrency, 1)))
	c.add(partWork, work*serviceTime.Seconds()*(1+utilizationPenalty*min(busy/concurrency, 1)))
	if excess := busy + 1 - concurrency; excess > 0 {
		c.add(partQueue, serviceTime.Seconds()*excess/concurrency)
	}
	c.add(partRateLimit, s.limitWait(age).Seconds())
	if s.load.BodyRate > 0 && r.BodyBytes > 0 && l.Address != r.LocalAddress {
		c.add(partBody, s.load.BodyQueueDelay.Seconds()*decay(age, loadDecay)+float64(r.BodyBytes)/float64(s.load.BodyRate))
	}
	if transfer := s.answerTransferTime(r); transfer > 0 {
		// The answers reserved so far are sent while the request waits and runs.
		c.add(partAnswer, max(s.answerQueueDelay(now).Seconds()-c.total, 0)+transfer.Seconds())
	}
	c.add(partNetwork, s.expectedDelay(now).Seconds())
	if r.Objective > 0 && c.total > lateThreshold*r.Objective.Seconds() {
		c.add(partLate, lateCost.Seconds())
	}
	c.add(partFailures, failureCost.Seconds()*s.load.FailureRate*decay(age, serviceTimeDecay))
	if s.outstanding > 0 {
		// A host that lost power or hangs sends no answer.
		c.add(partSilence, max(now.Sub(s.silentSince).Seconds()-silenceFactor*max(work, 1)*serviceTime.Seconds(), 0))
	}
	c.add(partVariation, c.total*costJitter*(2*b.random()-1))
	if l.DataCentre != b.dataCentre {
		kilobytes := requestOverheadKB + float64(max(r.BodyBytes, 0)+r.AnswerBytes)/1024
		c.add(partDataCentre, dataCentreRoundTrip.Seconds()+min(transferCostPerKB*meanServiceTime.Seconds()*kilobytes, maxTransferCost.Seconds()))
	}
	if l.Suspect {
		c.add(partSuspect, suspectCost.Seconds())
	}
	b.addAvailability(&c, l, s, r, now)
	return c
}

// expectedLoad returns the number of requests that a server is expected to have. age is the
// age of its last load report.
func (b *Balancer) expectedLoad(s *serverState, concurrency float64, age time.Duration) float64 {
	usualLoad := b.utilization * concurrency
	reportedLoad := usualLoad + (float64(s.load.Running+s.load.Queued)-usualLoad)*decay(age, loadDecay)
	return max(reportedLoad+float64(s.sentSinceLoad), float64(s.outstanding))
}

// expectedServiceTime returns the service time at the server's present speed, as far as a
// load report of a given age shows it.
func (s *serverState) expectedServiceTime(mean, age time.Duration) time.Duration {
	if s.serviceTime <= 0 {
		return mean
	}
	if s.load.Slowdown <= 0 {
		return mean + time.Duration(float64(s.serviceTime-mean)*decay(age, serviceTimeDecay))
	}
	usual := float64(mean) + float64(s.serviceTime-mean)*decay(age, usualTimeDecay)
	return time.Duration(usual * (1 + (slowdownOf(&s.load)-1)*decay(age, slowdownDecay)))
}

// crowding returns how likely a server is full whose expected share of busy slots is given.
// Reports are rare and old, so it may be full before it is expected to be, but hardly
// below two thirds.
func crowding(busy float64) float64 {
	square := busy * busy
	return square * square * square * square
}

// concurrency returns the number of requests that the server handles well at once.
func (s *serverState) concurrency(slots int) float64 {
	if s.load.Concurrency > 0 {
		slots = min(slots, s.load.Concurrency)
	}
	return float64(max(slots, 1))
}

// addAvailability adds the cost that defers a server until no other is left.
func (b *Balancer) addAvailability(c *cost, l *catalog.Listing, s *serverState, r Request, now time.Time) {
	if now.Before(s.ejectedUntil) {
		c.add(partEjected, unavailableCost)
		return
	}
	unusable := s.load.State == host.StateLeaving || s.load.State == host.StateDown
	if unusable && now.Sub(s.loadAt) < loadDecay {
		c.add(partUnusable, unavailableCost)
		return
	}
	if !s.isCold(l, now) || r.ColdRate <= 0 {
		return
	}
	rate := coldRateShare * r.ColdRate / float64(max(r.Senders, 1))
	s.tokens = min(s.tokens+rate*now.Sub(s.refilledAt).Seconds(), 1)
	s.refilledAt = now
	if s.tokens < 1 {
		c.add(partColdRate, coldRateExceededCost)
	}
}

// isCold reports whether the server is warming up, by its record or its last load report.
func (s *serverState) isCold(l *catalog.Listing, now time.Time) bool {
	return now.Before(l.ColdUntil) || s.load.State == host.StateCold && now.Sub(s.loadAt) < loadDecay
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}
