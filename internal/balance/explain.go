package balance

import (
	"cmp"
	"slices"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/mesh"
)

// Ranks of a candidate.
const (
	// RankPreferred is a server of the node's own data centre that is expected to answer
	// well within the objective.
	RankPreferred = "preferred"
	// RankEligible is any other server that may be chosen.
	RankEligible = "eligible"
	// RankLastResort is a server whose cost exceeds the time of any request, so that it is
	// chosen only when no other is left.
	RankLastResort = "last resort"
	// RankExcluded is a server that is not asked now.
	RankExcluded = "excluded"
)

// lastResortParts are the parts of the cost that defer a server until no other is left.
var lastResortParts = []costPart{partEjected, partUnusable, partColdRate}

// Explanation says which server Choose would take, and why.
type Explanation struct {
	// Choice is nil if no server may be asked now.
	Choice *catalog.Listing
	// RetryIn is the time after which a gate may have capacity if there is no choice.
	RetryIn time.Duration
	// LocalLimit is the expected time below which a server of the node's own data centre is
	// chosen before any other.
	LocalLimit time.Duration
	// MeanServiceTime is that of the listed servers, and Work the work of the route
	// relative to the mean.
	MeanServiceTime time.Duration
	Work            float64
	// Candidates holds the listed servers in the order in which Choose takes them.
	Candidates []Candidate
}

// Candidate is what is known of one server. Times are in milliseconds.
type Candidate struct {
	Server     mesh.ServerID `json:"server"`
	Address    string        `json:"address"`
	DataCentre string        `json:"dataCentre"`
	Rank       string        `json:"rank"`
	// Exclusions are the reasons for which the server is excluded or a last resort.
	Exclusions []Exclusion `json:"exclusions,omitempty"`
	// State is that which the gate reported last. Cold also covers the server's record.
	State   string `json:"state"`
	Cold    bool   `json:"cold"`
	Suspect bool   `json:"suspect"`
	// ReportAgeMs is the age of the last load report, from which the figures come unless
	// they are this node's own; nil if there was none.
	ReportAgeMs *float64 `json:"reportAgeMs"`
	Speed       Speed    `json:"speed"`
	Load        Load     `json:"load"`
	Link        Link     `json:"link"`
	// CostMs is the sum of Cost. Both are absent for a server that is excluded.
	CostMs *float64   `json:"costMs,omitempty"`
	Cost   []CostPart `json:"cost,omitempty"`
}

// Exclusion is a reason not to choose a server, and for how long it holds; 0 means that
// this is not known.
type Exclusion struct {
	Reason string  `json:"reason"`
	ForMs  float64 `json:"forMs,omitempty"`
}

// Speed is the speed of a server. 0 means that the gate reported none.
type Speed struct {
	ServiceMs       float64 `json:"serviceMs"`
	SlowdownPercent int     `json:"slowdownPercent"`
	Concurrency     int     `json:"concurrency"`
	// ExpectedMs is the time expected for this route's work now.
	ExpectedMs float64 `json:"expectedMs"`
	// FailureRate is the share of recent requests that the server failed.
	FailureRate float64 `json:"failureRate"`
	// StatedPerSecond is the request rate that the server accepts; nil if it states none.
	StatedPerSecond *float64 `json:"statedPerSecond,omitempty"`
}

// Load is the load of a server. Outstanding, SentSinceReport and Expected are this
// node's own figures.
type Load struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	Slots           int     `json:"slots"`
	Outstanding     int     `json:"outstanding"`
	SentSinceReport int     `json:"sentSinceReport"`
	Expected        float64 `json:"expected"`
	// ColdTokens is the number of requests that this node may send to a cold server now.
	ColdTokens *float64 `json:"coldTokens,omitempty"`
}

// Link is the capacity of the server's link, in bytes a second; 0 means unknown.
type Link struct {
	AnswerRate    int64   `json:"answerRate"`
	AnswerQueueMs float64 `json:"answerQueueMs"`
	BodyRate      int64   `json:"bodyRate"`
	BodyQueueMs   float64 `json:"bodyQueueMs"`
	// DelayMs is the network delay expected now, from one that was measured DelayAgeMs ago.
	DelayMs    float64  `json:"delayMs"`
	DelayAgeMs *float64 `json:"delayAgeMs"`
}

// CostPart is a part of a server's cost.
type CostPart struct {
	Part string  `json:"part"`
	Ms   float64 `json:"ms"`
}

// Explain returns what Choose would decide and why. It weighs copies of the servers' state
// by the code of Choose and changes nothing. random replaces the balancer's own source:
// with the values that Choose would draw, the choice is the same. A source that always
// returns 0.5 gives the costs without random variation.
func (b *Balancer) Explain(listed []*catalog.Listing, r Request, random func() float64, now time.Time) Explanation {
	snapshot, work := b.snapshot(listed, r.Route, random)
	snapshot.sweep(now)
	meanServiceTime, choice := snapshot.meanServiceTime(listed), snapshot.newSelection(r)
	e := Explanation{MeanServiceTime: meanServiceTime, Work: work, LocalLimit: seconds(choice.localLimit)}
	for _, l := range listed {
		if slices.Contains(r.Excluded, l.ID) {
			continue
		}
		a := snapshot.assess(l, r, meanServiceTime, work, now)
		choice.consider(l, &a)
		c := snapshot.describe(l, &a, work, meanServiceTime, now)
		if c.Rank == RankEligible && choice.prefers(l, &a) {
			c.Rank = RankPreferred
		}
		e.Candidates = append(e.Candidates, c)
	}
	e.Choice, e.RetryIn = choice.result()
	slices.SortStableFunc(e.Candidates, compareCandidates)
	return e
}

// snapshot returns a balancer with copies of the state of the listed servers, and the work
// of a route.
func (b *Balancer) snapshot(listed []*catalog.Listing, route string, random func() float64) (snapshot *Balancer, work float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	snapshot = &Balancer{
		dataCentre: b.dataCentre, random: random, servers: make(map[mesh.ServerID]*serverState, len(listed)),
		utilization: b.utilization, sweptAt: b.sweptAt,
	}
	for _, l := range listed {
		if s := b.servers[l.ID]; s != nil {
			copied := *s
			copied.full = make(map[string]fullMark, len(s.full))
			for class, mark := range s.full {
				copied.full[class] = mark
			}
			snapshot.servers[l.ID] = &copied
		}
	}
	return snapshot, b.work.peek(route)
}

// compareCandidates orders candidates as Choose takes them: preferred ones, all others that
// may be asked, and the excluded ones.
func compareCandidates(a, b Candidate) int {
	if order := cmp.Compare(a.group(), b.group()); order != 0 {
		return order
	}
	if a.CostMs == nil || b.CostMs == nil {
		return 0
	}
	return cmp.Compare(*a.CostMs, *b.CostMs)
}

func (c *Candidate) group() int {
	switch c.Rank {
	case RankPreferred:
		return 0
	case RankExcluded:
		return 2
	default:
		return 1
	}
}

// describe returns what is known of a server.
func (b *Balancer) describe(l *catalog.Listing, a *assessment, work float64, meanServiceTime time.Duration, now time.Time) Candidate {
	s := b.stateOf(l.ID, now)
	age := now.Sub(s.loadAt)
	c := Candidate{
		Server: l.ID, Address: l.Address, DataCentre: l.DataCentre, Rank: RankEligible,
		State: s.load.State.String(), Cold: s.isCold(l, now), Suspect: l.Suspect, ReportAgeMs: ageMs(s.loadAt, now),
		Speed: Speed{
			ServiceMs: ms(s.serviceTime), SlowdownPercent: s.load.Slowdown, Concurrency: int(s.concurrency(l.Slots)),
			ExpectedMs: work * ms(s.expectedServiceTime(meanServiceTime, age)), FailureRate: s.load.FailureRate,
		},
		Load: Load{
			Running: s.load.Running, Queued: s.load.Queued, Slots: l.Slots, Outstanding: s.outstanding,
			SentSinceReport: s.sentSinceLoad, Expected: b.expectedLoad(s, s.concurrency(l.Slots), age),
		},
		Link: Link{
			AnswerRate: s.answerRate(), AnswerQueueMs: ms(s.answerQueueDelay(now)), BodyRate: s.load.BodyRate,
			BodyQueueMs: ms(s.load.BodyQueueDelay), DelayMs: ms(s.expectedDelay(now)), DelayAgeMs: ageMs(s.delayMeasuredAt, now),
		},
	}
	if s.load.RateLimit.Stated {
		c.Speed.StatedPerSecond = &s.load.RateLimit.PerSecond
	}
	if c.Cold {
		c.Load.ColdTokens = &s.tokens
	}
	c.addCost(s, a, now)
	return c
}

// addCost adds the cost or the reasons of an exclusion.
func (c *Candidate) addCost(s *serverState, a *assessment, now time.Time) {
	if a.waits.longest() > 0 {
		c.Rank = RankExcluded
		c.exclude("closed", a.waits.closed)
		c.exclude("full", a.waits.full)
		c.exclude("no link capacity", a.waits.link)
		return
	}
	total := a.cost.total * 1000
	c.CostMs = &total
	for part, cost := range a.cost.parts {
		if cost != 0 {
			c.Cost = append(c.Cost, CostPart{Part: costPartNames[part], Ms: cost * 1000})
		}
	}
	for _, part := range lastResortParts {
		if a.cost.parts[part] == 0 {
			continue
		}
		c.Rank = RankLastResort
		e := Exclusion{Reason: costPartNames[part]}
		if part == partEjected {
			e.ForMs = ms(s.ejectedUntil.Sub(now))
		}
		c.Exclusions = append(c.Exclusions, e)
	}
}

func (c *Candidate) exclude(reason string, wait time.Duration) {
	if wait > 0 {
		c.Exclusions = append(c.Exclusions, Exclusion{Reason: reason, ForMs: ms(wait)})
	}
}

// ageMs returns the age of a figure in milliseconds, or nil if there is none.
func ageMs(at, now time.Time) *float64 {
	if at.IsZero() {
		return nil
	}
	age := ms(now.Sub(at))
	return &age
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
