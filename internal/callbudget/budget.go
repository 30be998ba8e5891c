// Package callbudget decides whether a gate starts a run whose own calls may be refused. A
// server makes nested calls while it runs a request, and fails the run when one of them is
// refused: the work done so far is wasted. Budget learns from the calls of each class of
// runs, and while calls are refused it permits as many new runs as the called service bears.
//
// The decisions take the time as an argument and use no goroutine, network or clock.
package callbudget

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxClasses bounds the classes that are tracked, and with them memory.
	maxClasses = 256
	// maxServices bounds the called services that are tracked for each class.
	maxServices = 8
	// observationTime is the time constant with which observations lose their weight. It
	// covers a few runs of some 200 ms each.
	observationTime = 500 * time.Millisecond
	// evidenceTime is the time constant with which wasted runs lose their weight. At a class of
	// ten runs a second, a twentieth of them is one in two seconds.
	evidenceTime = 2 * time.Second
	// toleratedWaste is the share of runs with a refused call up to which runs are not
	// limited: half of the tenth that may be wasted. Routes that call rarely stay below it.
	toleratedWaste = 0.03
	// minRefusedRuns is the least weight of runs with a refused call that limits a class; a
	// single refusal shows no lack of capacity.
	minRefusedRuns = 1.5
	// minRunsPerSecond is the rate of runs that are always permitted: it shows whether the
	// called service has recovered.
	minRunsPerSecond = 2.0
	// limitMargin is the share of what the called service bears that a lowered limit permits:
	// runs in progress still make their calls.
	limitMargin = 0.9
	// slowGrowth is the rate, in e-folds per second, at which a limit rises: with run times of
	// some 300 ms, it passes what the called service bears by a few percent before the next
	// decrease. quietGrowth is that rate after no call was refused for quietTime, and
	// fastGrowth the one below half of the rate at which calls were last refused.
	slowGrowth, quietGrowth, fastGrowth = 0.1, 0.3, 1.0
	quietTime                           = 2 * time.Second
	// lateHold is the time after a late call in which a limit does not rise: calls wait at the
	// called service before it refuses them.
	lateHold = 500 * time.Millisecond
	// lateShare is the share of late calls from which on a limit is lowered by limitMargin
	// before calls are refused.
	lateShare = 0.15
	// endTime is the time without a refused call after which a limit rises fast and may end.
	// Entries avoid a gate that refused, so that few arrivals alone show no end of the demand.
	endTime = 5 * time.Second
	// burstTime is the time's worth of a limit that may start at once.
	burstTime = 250 * time.Millisecond
	// limitHeadroom is the multiple of the rate of arrivals at which a limit ends.
	limitHeadroom = 2.0
	// hopelessShare is the share of calling runs with a refused call from which on runs are
	// limited even if the servers refuse the calls themselves.
	hopelessShare = 0.9
	// indispensableShare is the share of runs that make calls from which on a run counts as
	// unable to succeed without them.
	indispensableShare = 0.9
	// acceptedWaste is the share of wasted runs up to which runs that may need no call are
	// started although the slots are contended.
	acceptedWaste = 0.5
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. The trickle shows
	// a recovery within the latter.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, time.Second
)

// Class groups runs whose calls succeed alike: calls have the rank of their run, and a full
// server refuses the less urgent ones first.
type Class struct {
	Route string
	Rank  int
	// Retry reports that the request was sent to another server before. If its run failed
	// because calls are refused, it is a request that makes calls.
	Retry bool
}

// Request describes a request to the budget.
type Request struct {
	Class Class
	// Nested reports that the request is itself a call of a run.
	Nested bool
	// Hedge reports that another server is running the request: its calls are slow, and a
	// second run makes them again.
	Hedge bool
	// Contended reports that the slots of the server beside the gate are contended: a wasted
	// run takes the slot of another request.
	Contended bool
}

// Call is the outcome of a nested call.
type Call struct {
	// Service is the called service.
	Service string
	// Refused reports that the called service refused the call or did not answer in time.
	Refused bool
	// Late reports that the call was answered after its objective.
	Late bool
	// ByServer reports that a server refused the call itself, rather than a gate for lack of
	// capacity. Fewer runs don't make such refusals rarer.
	ByServer bool
	// RetryAfter is when the called service expects capacity, if it refused.
	RetryAfter time.Duration
}

// Totals counts runs since the start.
type Totals struct {
	// Runs counts the runs that ended, Calling those that made a call, CallRefused those
	// with a refused call, and NotStarted the runs that were refused for that reason.
	Runs, Calling, CallRefused, NotStarted uint64
	// Limited is the number of classes whose runs are limited now.
	Limited int
}

// Budget holds the observations and limits of one gate. It is safe for concurrent use.
type Budget struct {
	// limits reports that runs may be refused; otherwise they are only counted.
	limits bool

	mu      sync.Mutex
	classes *simplelru.LRU[Class, *class]
	totals  Totals
}

// New returns a budget that permits every run. If limits is false, it goes on to do so and
// only counts.
func New(limits bool) *Budget {
	b := &Budget{limits: limits}
	classes, err := simplelru.NewLRU[Class, *class](maxClasses, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	b.classes = classes
	return b
}

// Run is a run of the server beside the gate. A nil Run records nothing.
type Run struct {
	budget    *Budget
	class     *class
	startedAt time.Time
	// calling and refused report that a call was made, and that one was refused.
	calling, refused bool
	ended            bool
	// tokens is what the run took of the limit.
	tokens float64
}

// Refusal is the decision not to start a run.
type Refusal struct {
	// RetryAfter is when the called service is expected to have capacity for one more run.
	RetryAfter time.Duration
	// Service is the called service.
	Service string
}

// Start decides whether a run starts. A nested call is always started, since a refusal would
// waste the work of its own run; it still counts against the limit.
func (b *Budget) Start(r Request, now time.Time) (*Run, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.classes.Get(r.Class)
	if !ok {
		c = newClass()
		b.classes.Add(r.Class, c)
	}
	c.arrived.add(1, now)
	tokens, refusal := c.take(r, now)
	if refusal != nil {
		b.totals.NotStarted++
		return nil, refusal
	}
	return &Run{budget: b, class: c, startedAt: now, tokens: tokens}, nil
}

// Withdraw takes back a run that was not sent to the server.
func (r *Run) Withdraw(now time.Time) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.ended {
		r.class.withdrawStart(r.tokens, now)
	}
	r.ended = true
}

// Limit describes a limit that has been lowered, for the log.
type Limit struct {
	RunsPerSecond float64
	// RefusedShare is the share of the calling runs that had a call refused.
	RefusedShare float64
	// CallsPerRun is the number of calls per run to the service that refused one.
	CallsPerRun float64
}

// RecordCall records the outcome of a call of the run. It returns the new limit if that was
// lowered.
func (r *Run) RecordCall(call Call, now time.Time) (lowered Limit, ok bool) {
	if r == nil {
		return Limit{}, false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.class.recordCall(call, now)
	if call.Late {
		r.class.lowerForDelay(r, now)
	}
	if !r.calling {
		r.calling = true
		r.class.calling.add(1, now)
		r.budget.totals.Calling++
	}
	if !call.Refused || r.refused {
		return Limit{}, false
	}
	r.refused = true
	r.budget.totals.CallRefused++
	return r.class.lower(r, call.ByServer, now)
}

// End records the end of the run.
func (r *Run) End(now time.Time) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.budget.totals.Runs++
	r.class.recordEnd(r, now)
}

// Totals returns the counts so far.
func (b *Budget) Totals(now time.Time) Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.totals
	for _, c := range b.classes.Values() {
		c.grow(now)
		if c.limited() {
			t.Limited++
		}
	}
	return t
}

// decayingCount is a sum whose summands lose their weight over time.
type decayingCount struct {
	value float64
	since time.Time
	// timeConstant is observationTime if it is 0.
	timeConstant time.Duration
}

func (c *decayingCount) decayTime() float64 {
	if c.timeConstant == 0 {
		return observationTime.Seconds()
	}
	return c.timeConstant.Seconds()
}

func (c *decayingCount) valueAt(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp(-max(now.Sub(c.since), 0).Seconds()/c.decayTime())
}

func (c *decayingCount) add(n float64, now time.Time) {
	c.value, c.since = max(c.valueAt(now)+n, 0), now
}

// perSecond returns the rate of the recent events.
func (c *decayingCount) perSecond(now time.Time) float64 {
	return c.valueAt(now) / c.decayTime()
}
