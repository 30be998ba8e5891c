package gate

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// account holds one caller's use of the server. Callers share by used service time: a new
// caller starts with the used time of the least served one, and an excess over the others
// decays. The scheme follows the dispatcher of the Pepsi mail server (Pepsi manual, ch. 22).
type account struct {
	weight int
	// usedTime is the accrued service time divided by the weight, in seconds, on the scale
	// of accounts.virtualTime.
	usedTime  float64
	decayedAt time.Time
	// lastRequestAt is when the caller last requested a slot.
	lastRequestAt time.Time
	// running is the number of the caller's requests on the server. startedSum is the sum
	// of their start times and chargedSum the sum of their advance charges, both in
	// seconds.
	running    int
	startedSum float64
	chargedSum float64
	// waiting holds the caller's queued requests by rank, oldest first.
	waiting [numRanks][]*waiter
	queued  int
}

// accrued returns the used time including what the running requests have used beyond their
// advance charge, so that long requests are charged while they run.
func (a *account) accrued(clock float64) float64 {
	excess := float64(a.running)*clock - a.startedSum - a.chargedSum
	return a.usedTime + max(0, excess)/float64(a.weight)
}

// projectedUsedTime returns the used time that the account will have after each of its
// queued requests has run for the mean service time.
func (a *account) projectedUsedTime(clock, mean float64) float64 {
	return a.accrued(clock) + float64(a.queued)*mean/float64(a.weight)
}

// accounts holds the callers' accounts and the gate's virtual time.
type accounts struct {
	byCaller *simplelru.LRU[string, *account]
	halfLife time.Duration
	origin   time.Time
	// virtualTime is the least used time among the running and waiting accounts when a
	// request last started. It never decreases.
	virtualTime float64
	// latest and previous are the last two distinct accounts that requested a slot.
	latest, previous *account
}

func newAccounts(size int, halfLife time.Duration, now time.Time) *accounts {
	byCaller, err := simplelru.NewLRU[string, *account](size, nil)
	if err != nil {
		panic(err) // only if size is not positive
	}
	return &accounts{byCaller: byCaller, halfLife: halfLife, origin: now}
}

// getOrCreate returns a caller's account, updated to now. An account that is evicted from
// the cache while its requests wait stays alive through those requests.
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

// otherCallerSince reports whether a caller other than acc requested a slot after since.
func (a *accounts) otherCallerSince(acc *account, since time.Time) bool {
	other := a.latest
	if other == acc {
		other = a.previous
	}
	return other != nil && other.lastRequestAt.After(since)
}

// highestRank returns the highest rank with a waiting request. The account must have one.
func (a *account) highestRank() rank {
	for r := rankHigh; r < rankLow; r++ {
		if len(a.waiting[r]) > 0 {
			return r
		}
	}
	return rankLow
}

// catchUp raises an account to the virtual time, so that an idle caller earns no credit,
// and decays its excess over the virtual time.
func (a *accounts) catchUp(acc *account, now time.Time) {
	excess := acc.usedTime - a.virtualTime
	if excess <= 0 {
		acc.usedTime = a.virtualTime
	} else if elapsed := now.Sub(acc.decayedAt); elapsed > 0 {
		acc.usedTime = a.virtualTime + excess*math.Exp2(-elapsed.Seconds()/a.halfLife.Seconds())
	}
	acc.decayedAt = now
}

// charge charges an account in advance for a request that starts now. least is the least
// used time among the waiting accounts.
func (a *accounts) charge(acc *account, p *Permit, least float64) {
	clock := a.clock(p.started)
	a.virtualTime = max(a.virtualTime, min(acc.accrued(clock), least))
	acc.usedTime += p.charged / float64(acc.weight)
	acc.running++
	acc.startedSum += clock
	acc.chargedSum += p.charged
}

// reconcile charges an account for the time that a request which ends now used beyond its
// advance charge, or refunds the unused rest.
func (a *accounts) reconcile(acc *account, p *Permit, now time.Time) {
	clock := a.clock(p.started)
	acc.running--
	acc.startedSum -= clock
	acc.chargedSum -= p.charged
	if acc.running == 0 {
		acc.startedSum, acc.chargedSum = 0, 0 // drop accumulated rounding errors
	}
	acc.usedTime += (a.clock(now) - clock - p.charged) / float64(acc.weight)
}

// clock converts a time to seconds since the accounts were created.
func (a *accounts) clock(now time.Time) float64 {
	return now.Sub(a.origin).Seconds()
}
