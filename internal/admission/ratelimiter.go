package admission

import (
	"math"
	"time"

	"boragefall/internal/contract"
)

const (
	// burstTime is the time's worth of a server's limit that may start at once after
	// idle time, and minBurst the number of requests in addition: one, and one more that
	// is kept for urgent requests.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// maxLimitWait is the longest wait that is computed; a server that accepts no requests
	// states nothing about when it will.
	maxLimitWait = time.Hour
	// demandTimeConstant is the time constant of the demand for each priority.
	demandTimeConstant = 2 * time.Second
	// minDemand is the number of requests below which a priority's demand is discarded.
	minDemand = 0.01
	// tokenTolerance absorbs rounding in the times at which tokens become available.
	tokenTolerance = 1e-6
)

// rateLimiter is a token bucket that holds the request limit that a server states. It
// passes every request while there is no limit. A request starts only if it leaves enough
// tokens for the more urgent requests that are expected, by their share of the limit.
type rateLimiter struct {
	limit      contract.RateLimit
	tokens     float64
	refilledAt time.Time
	// demand holds the demand for each priority.
	demand map[int]*decayingCount
}

// decayingCount counts events of recent time.
type decayingCount struct {
	value float64
	since time.Time
}

func (c *decayingCount) valueAt(now time.Time) float64 {
	return c.value * math.Exp(-max(now.Sub(c.since), 0).Seconds()/demandTimeConstant.Seconds())
}

// set changes the limit. The first limit starts with a single token, since the server got
// more than it accepts until then.
func (l *rateLimiter) set(limit contract.RateLimit, now time.Time) {
	if !l.limit.Stated {
		l.tokens, l.refilledAt = 1, now
	}
	l.refill(now)
	l.limit = limit
	l.tokens = min(l.tokens, l.burst())
	if !limit.Stated {
		l.demand = nil
	}
}

func (l *rateLimiter) burst() float64 {
	return minBurst + l.limit.PerSecond*burstTime.Seconds()
}

func (l *rateLimiter) refill(now time.Time) {
	elapsed := max(now.Sub(l.refilledAt), 0).Seconds()
	l.tokens = min(l.tokens+elapsed*l.limit.PerSecond, l.burst())
	l.refilledAt = now
}

// recordDemand counts a request of a priority, whether it starts or not.
func (l *rateLimiter) recordDemand(priority int, now time.Time) {
	if !l.limit.Stated {
		return
	}
	if l.demand == nil {
		l.demand = map[int]*decayingCount{}
	}
	for known, count := range l.demand {
		if known != priority && count.valueAt(now) < minDemand {
			delete(l.demand, known)
		}
	}
	count := l.demand[priority]
	if count == nil {
		count = &decayingCount{}
		l.demand[priority] = count
	}
	count.value, count.since = count.valueAt(now)+1, now
}

// recordStart takes a token. Health checks take one even if there is none.
func (l *rateLimiter) recordStart(now time.Time) {
	if !l.limit.Stated {
		return
	}
	l.refill(now)
	l.tokens = max(l.tokens-1, -l.burst())
}

// grant permits one request beyond the limit.
func (l *rateLimiter) grant(now time.Time) {
	l.refill(now)
	l.tokens = max(l.tokens, 1)
}

// reserve returns the tokens that a request has to leave for more urgent ones.
func (l *rateLimiter) reserve(r Request, now time.Time) float64 {
	if r.HasPriorWork || r.Nested || l.limit.PerSecond <= 0 {
		return 0
	}
	urgent := 0.0
	for priority, count := range l.demand {
		if priority < r.Priority {
			urgent += count.valueAt(now) / demandTimeConstant.Seconds()
		}
	}
	return min(urgent/l.limit.PerSecond, 1) * (l.burst() - 1)
}

// wait returns how long a request waits for a token behind a number of others.
func (l *rateLimiter) wait(r Request, ahead int, now time.Time) time.Duration {
	if !l.limit.Stated {
		return 0
	}
	l.refill(now)
	missing := 1 + l.reserve(r, now) + float64(ahead) - l.tokens
	if missing <= tokenTolerance {
		return 0
	}
	seconds := min(missing/l.limit.PerSecond, maxLimitWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
