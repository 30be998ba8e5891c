package quota

import (
	"time"

	"golang.org/x/time/rate"

	"boragefall/internal/mesh"
)

const (
	// SettleTime is how long a node may differ from others in the servers that it knows,
	// and so in the home of a workspace.
	SettleTime = 2 * time.Second
	// successionGap is the time without a request to a successor after which it starts
	// anew, since the home may have granted meanwhile.
	successionGap = time.Second
	// minRetry is the shortest time after which an entry asks again for credits that it
	// did not get. It bounds the requests of many entries for a workspace that sends far
	// more than its quota.
	minRetry = 200 * time.Millisecond
	// maxRetry is the longest such time: a quota may be raised meanwhile.
	maxRetry = time.Second
)

// Role is the role in which a node is asked for credits.
type Role uint8

// Roles of a ledger for a workspace.
const (
	// RoleHome is the node that ranks first.
	RoleHome Role = iota
	// RoleStandIn is the second node while the first does not answer. The first may be
	// granting credits to other entries, so the stand-in grants only what may exceed the
	// quota.
	RoleStandIn
	// RoleSuccessor is the second node after the first has proved that it grants nothing.
	RoleSuccessor
)

// Request asks for credits.
type Request struct {
	// Workspace names the workspace, and Quota is its quota.
	Workspace string
	Quota     mesh.Quota
	// Wanted is the number of credits.
	Wanted int
	Role   Role
	// HomeSince is the time since which the node has ranked first, in RoleHome.
	HomeSince time.Time
}

// Grant is the answer to a Request.
type Grant struct {
	// Credits is the number of requests permitted.
	Credits int
	// RetryIn is the time until there may be a further credit; 0 if all were granted.
	RetryIn time.Duration
}

// Ledger keeps the token buckets of the workspaces of which this node is the home or the
// second node. It is not safe for concurrent use.
type Ledger struct {
	tolerance   Tolerance
	byWorkspace map[string]*buckets
}

// buckets are the token buckets of one workspace.
type buckets struct {
	quota mesh.Quota
	// main holds the credits of the quota itself. It starts empty if another node may just
	// have granted them.
	main *rate.Limiter
	// reserve holds the credits that may be granted while another node grants as well.
	reserve *rate.Limiter
	usedAt  time.Time
	// succeededAt is the last request in RoleSuccessor.
	succeededAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(t Tolerance) *Ledger {
	return &Ledger{tolerance: t, byWorkspace: map[string]*buckets{}}
}

// Grant grants credits.
func (l *Ledger) Grant(r Request, now time.Time) Grant {
	b := l.bucketsOf(r, now)
	b.usedAt = now
	switch r.Role {
	case RoleStandIn:
		return take(b.reserve, r.Wanted, now)
	case RoleSuccessor:
		if now.Sub(b.succeededAt) > successionGap {
			drain(b.main, now)
		}
		b.succeededAt = now
		return take(b.main, r.Wanted, now)
	}
	rankedFirst := now.Sub(r.HomeSince)
	if rankedFirst < SettleTime {
		drain(b.main, now)
	}
	g := take(b.main, r.Wanted, now)
	if g.Credits < r.Wanted && rankedFirst < SettleTime+l.tolerance.Window {
		// The main bucket had to start empty; the reserve covers what it lacks at first.
		more := take(b.reserve, r.Wanted-g.Credits, now)
		g = Grant{Credits: g.Credits + more.Credits, RetryIn: more.RetryIn}
	}
	return g
}

// Forget discards the workspaces that were not asked for since a time. Their buckets are
// full by then.
func (l *Ledger) Forget(before time.Time) {
	for name, b := range l.byWorkspace {
		if b.usedAt.Before(before) {
			delete(l.byWorkspace, name)
		}
	}
}

// bucketsOf returns the buckets of a request's workspace, by its present quota.
func (l *Ledger) bucketsOf(r Request, now time.Time) *buckets {
	b := l.byWorkspace[r.Workspace]
	if b == nil {
		initial, perSecond := l.tolerance.reserve(r.Quota)
		b = &buckets{
			quota:   r.Quota,
			main:    rate.NewLimiter(rate.Limit(r.Quota.Rate), capacity(l.tolerance.burst(r.Quota))),
			reserve: rate.NewLimiter(rate.Limit(perSecond), capacity(initial)),
		}
		if r.Role != RoleHome || now.Sub(r.HomeSince) < SettleTime+l.tolerance.Window {
			drain(b.main, now)
		}
		l.byWorkspace[r.Workspace] = b
		return b
	}
	if b.quota != r.Quota {
		initial, perSecond := l.tolerance.reserve(r.Quota)
		b.quota = r.Quota
		b.main.SetLimitAt(now, rate.Limit(r.Quota.Rate))
		b.main.SetBurstAt(now, capacity(l.tolerance.burst(r.Quota)))
		b.reserve.SetLimitAt(now, rate.Limit(perSecond))
		b.reserve.SetBurstAt(now, capacity(initial))
	}
	return b
}

// capacity returns the capacity of a bucket in whole credits. A capacity below one credit
// would never grant any.
func capacity(credits float64) int {
	return max(int(credits), 1)
}

// drain empties a bucket.
func drain(l *rate.Limiter, now time.Time) {
	if credits := int(l.TokensAt(now)); credits > 0 {
		l.AllowN(now, credits)
	}
}

// take takes as many of the wanted credits as there are.
func take(l *rate.Limiter, wanted int, now time.Time) Grant {
	available := l.TokensAt(now)
	credits := max(min(wanted, int(available)), 0)
	if credits > 0 && !l.AllowN(now, credits) {
		credits = 0
	}
	if credits == wanted {
		return Grant{Credits: credits}
	}
	missing := 1 - (available - float64(credits))
	retryIn := maxRetry
	if perSecond := float64(l.Limit()); missing < perSecond*maxRetry.Seconds() {
		retryIn = time.Duration(missing / perSecond * float64(time.Second))
	}
	return Grant{Credits: credits, RetryIn: max(retryIn, minRetry)}
}
