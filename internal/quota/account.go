package quota

import (
	"math"
	"time"
)

const (
	// portionTime is the time for which an entry takes credits in advance, at its own
	// rate of requests.
	portionTime = 500 * time.Millisecond
	// minPortion is the least number of credits taken in advance. Below it credits often
	// expire unused, and those of a small workspace would lie idle at many entries.
	minPortion = 2
	// creditLifetime is how long an unused credit is valid after the last grant.
	creditLifetime = time.Second
	// slowGrant is the time that a request for credits takes from which credits are taken
	// in advance at any rate, since callers would wait for each of them.
	slowGrant = 50 * time.Millisecond
	// usageDecay is the time constant of the entry's rate of requests.
	usageDecay = time.Second
)

// Account is what an entry holds of one workspace. It is not safe for concurrent use.
type Account struct {
	credits   int
	expiresAt time.Time
	// refusedUntil is the time until which there are no further credits.
	refusedUntil time.Time
	// usage is a decayed count of requests.
	usage   float64
	usageAt time.Time
	// grantTime is the time that the last request for credits took.
	grantTime time.Duration
}

// Count counts a request, whether or not it gets a credit.
func (a *Account) Count(now time.Time) {
	a.usage = a.usage*a.decay(now) + 1
	a.usageAt = now
}

func (a *Account) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(a.usageAt), 0).Seconds() / usageDecay.Seconds())
}

// portion returns the number of credits to hold in advance.
func (a *Account) portion(now time.Time) int {
	ahead := max(portionTime, 2*a.grantTime)
	portion := int(a.usage * a.decay(now) / usageDecay.Seconds() * ahead.Seconds())
	if portion < minPortion && a.grantTime < slowGrant {
		return 0
	}
	return portion
}

// RecordGrantTime records the time that a request for credits took.
func (a *Account) RecordGrantTime(took time.Duration) {
	a.grantTime = took
}

// Take uses a credit. It reports false if there is none.
func (a *Account) Take(now time.Time) bool {
	if a.credits == 0 || now.After(a.expiresAt) {
		a.credits = 0
		return false
	}
	a.credits--
	return true
}

// Wanted returns the number of credits to ask for while a number of requests wait; 0 if
// the entry holds enough.
func (a *Account) Wanted(waiting int, now time.Time) int {
	portion := a.portion(now)
	if now.After(a.expiresAt) {
		a.credits = 0
	}
	if waiting == 0 && (a.credits >= (portion+1)/2 || now.Before(a.refusedUntil)) {
		return 0
	}
	return max(portion+waiting-a.credits, 0)
}

// Add adds granted credits.
func (a *Account) Add(g Grant, now time.Time) {
	a.credits += g.Credits
	a.expiresAt = now.Add(creditLifetime)
	a.refusedUntil = time.Time{}
	if g.RetryIn > 0 {
		a.refusedUntil = now.Add(g.RetryIn)
	}
}

// Refund returns the credit of a request that was not run.
func (a *Account) Refund(now time.Time) {
	if now.After(a.expiresAt) {
		a.credits = 0
		a.expiresAt = now.Add(creditLifetime)
	}
	a.credits++
}

// RefusedFor returns the time until there may be credits again, or 0.
func (a *Account) RefusedFor(now time.Time) time.Duration {
	return max(a.refusedUntil.Sub(now), 0)
}
