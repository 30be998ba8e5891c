package gate

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// account is one caller's use of the server. The idea of sharing by accrued
// service time, with newcomers level with the least served and leads that
// decay, is that of the Pepsi mail server's dispatcher (Pepsi manual, ch. 22).
type account struct {
	weight int
	// service is the accrued service time over the weight, in seconds, on the
	// scale of the gate's virtual time.
	service   float64
	decayedAt time.Time
	// lastRequestAt is when the caller last lastRequestAt for a slot.
	lastRequestAt time.Time
	// running is the number of the caller's requests on the server; started sums
	// their start times and charged what was paid for them, in seconds.
	running    int
	startedSum float64
	chargedSum float64
	// waiting holds the caller's waiting requests per rank, oldest first.
	waiting [numRanks][]*waiter
	queued  int
}

// accrued is the service so far, with what the running requests have taken
// beyond their charge. A caller with long requests pays while they run.
func (a *account) accrued(clock float64) float64 {
	excess := float64(a.running)*clock - a.startedSum - a.chargedSum
	return a.service + max(0, excess)/float64(a.weight)
}

// projectedService is the service that the account will have accrued once its waiting
// requests have had the mean service time each.
func (a *account) projectedService(clock, mean float64) float64 {
	return a.accrued(clock) + float64(a.queued)*mean/float64(a.weight)
}

// accounts holds the callers' accounts and the gate's virtual time.
type accounts struct {
	byCaller *simplelru.LRU[string, *account]
	halfLife time.Duration
	origin   time.Time
	// virtualTime is the least service of the accounts that were served or waited
	// when a request last started; it never falls.
	virtualTime float64
	// latest and previous are the last two distinct accounts that asked.
	latest, previous *account
}

func newAccounts(size int, halfLife time.Duration, now time.Time) *accounts {
	byCaller, err := simplelru.NewLRU[string, *account](size, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &accounts{byCaller: byCaller, halfLife: halfLife, origin: now}
}

// getOrCreate returns a caller's account, brought up to now. An account that others
// push out getOrCreate memory while its requests wait lives on through them.
func (a *accounts) getOrCreate(caller string, weight int, now time.Time) *account {
	acc, ok := a.byCaller.Get(caller)
	if !ok {
		acc = &account{decayedAt: now}
		a.byCaller.Add(caller, acc)
	}
	acc.weight = max(weight, 1)
	if acc.queued == 0 {
		a.catchUp(acc, now)
	}
	acc.lastRequestAt = now
	if acc != a.latest {
		a.latest, a.previous = acc, a.latest
	}
	return acc
}

// otherCallerSince reports whether a caller other than acc asked since a time.
func (a *accounts) otherCallerSince(acc *account, since time.Time) bool {
	other := a.latest
	if other == acc {
		other = a.previous
	}
	return other != nil && other.lastRequestAt.After(since)
}

// highestRank returns the highest rank that waits. The account has a waiter.
func (a *account) highestRank() rank {
	for r := rankHigh; r < rankLow; r++ {
		if len(a.waiting[r]) > 0 {
			return r
		}
	}
	return rankLow
}

// catchUp levels an account with the virtual time, so that quiet time earns no
// credit, and lets its lead decay.
func (a *accounts) catchUp(acc *account, now time.Time) {
	lead := acc.service - a.virtualTime
	if lead <= 0 {
		acc.service = a.virtualTime
	} else if elapsed := now.Sub(acc.decayedAt); elapsed > 0 {
		acc.service = a.virtualTime + lead*math.Exp2(-elapsed.Seconds()/a.halfLife.Seconds())
	}
	acc.decayedAt = now
}

// charge makes an account pay in advance for a request that starts now. least
// is the least service accrued among the accounts that wait.
func (a *accounts) charge(acc *account, p *Permit, least float64) {
	clock := a.clock(p.started)
	a.virtualTime = max(a.virtualTime, min(acc.accrued(clock), least))
	acc.service += p.charged / float64(acc.weight)
	acc.running++
	acc.startedSum += clock
	acc.chargedSum += p.charged
}

// reconcile makes an account pay what a request that ends now took beyond its
// charge.
func (a *accounts) reconcile(acc *account, p *Permit, now time.Time) {
	clock := a.clock(p.started)
	acc.running--
	acc.startedSum -= clock
	acc.chargedSum -= p.charged
	if acc.running == 0 {
		acc.startedSum, acc.chargedSum = 0, 0 // no rounding is left behind
	}
	acc.service += (a.clock(now) - clock - p.charged) / float64(acc.weight)
}

// clock returns a time in seconds since the accounts began.
func (a *accounts) clock(now time.Time) float64 {
	return now.Sub(a.origin).Seconds()
}
