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
	service float64
	touched time.Time
	// waiting holds the caller's waiting requests per rank, oldest first.
	waiting [ranks][]*waiter
	queued  int
}

// share is the number of waiting requests over the weight, as if extra more
// waited.
func (a *account) share(extra int) float64 {
	return float64(a.queued+extra) / float64(a.weight)
}

// accounts holds the callers' accounts and the gate's virtual time.
type accounts struct {
	known    *simplelru.LRU[string, *account]
	halfLife time.Duration
	// virtual is the service of the account that was served last; it never
	// falls.
	virtual float64
}

func newAccounts(size int, halfLife time.Duration) *accounts {
	known, err := simplelru.NewLRU[string, *account](size, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &accounts{known: known, halfLife: halfLife}
}

// of returns a caller's account, brought up to now. An account that others
// push out of memory while its requests wait lives on through them.
func (a *accounts) of(caller string, weight int, now time.Time) *account {
	acc, ok := a.known.Get(caller)
	if !ok {
		acc = &account{touched: now}
		a.known.Add(caller, acc)
	}
	acc.weight = max(weight, 1)
	a.settle(acc, now)
	return acc
}

// settle levels an account with the virtual time, so that quiet time earns no
// credit, and lets its lead decay.
func (a *accounts) settle(acc *account, now time.Time) {
	lead := acc.service - a.virtual
	if lead <= 0 {
		acc.service = a.virtual
	} else if passed := now.Sub(acc.touched); passed > 0 {
		acc.service = a.virtual + lead*math.Exp2(-passed.Seconds()/a.halfLife.Seconds())
	}
	acc.touched = now
}

// charge makes an account pay for a request that starts now.
func (a *accounts) charge(acc *account, cost time.Duration) {
	a.virtual = max(a.virtual, acc.service)
	acc.service += cost.Seconds() / float64(acc.weight)
}

// correct makes an account pay what a request took beyond its charge.
func (a *accounts) correct(acc *account, charged, took time.Duration) {
	acc.service += (took - charged).Seconds() / float64(acc.weight)
}
