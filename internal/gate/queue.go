package gate

import (
	"math"
	"slices"
)

// evictionRankLead is how many mean requests' service time one rank is worth when the
// queue is full: enough for an urgent request to replace another caller's only
// lesser one, and too little for a storm of urgent ones to fill the queue.
const evictionRankLead = 2

// queue holds the waiting requests: fair between callers and by rank. It is not safe for concurrent use.
type queue struct {
	// callers lists the accounts with waiting requests, in order of arrival.
	callers []*account
	total   int
}

// push adds a waiter.
func (q *queue) push(w *waiter) {
	acc := w.account
	if acc.queued == 0 {
		q.callers = append(q.callers, acc)
	}
	acc.waiting[w.rank] = append(acc.waiting[w.rank], w)
	acc.queued++
	q.total++
}

// remove takes out a waiter that is in the queue.
func (q *queue) remove(w *waiter) {
	acc := w.account
	waiters := acc.waiting[w.rank]
	i := slices.Index(waiters, w)
	if i < 0 {
		return
	}
	acc.waiting[w.rank] = slices.Delete(waiters, i, i+1)
	acc.queued--
	q.total--
	if acc.queued == 0 {
		q.callers = slices.DeleteFunc(q.callers, func(a *account) bool { return a == acc })
	}
}

// pop takes out the next waiter, or returns nil if no caller mayStart start one: of
// the caller with the least service, its oldest of its highest rank. Each rank
// lets a caller be ahead in service by another lead seconds, so a stream of
// urgent requests goes first for a while and then shares.
func (q *queue) pop(clock, lead float64, mayStart func(*account) bool) *waiter {
	var best *account
	var bestKey float64
	for _, acc := range q.callers {
		key := acc.accrued(clock) - lead*float64(rankLow-acc.highestRank())
		if (best == nil || key < bestKey) && mayStart(acc) {
			best, bestKey = acc, key
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiting[best.highestRank()][0]
	q.remove(w)
	return w
}

// leastService returns the least service among the waiting callers.
func (q *queue) leastService(clock float64) float64 {
	least := math.Inf(1)
	for _, acc := range q.callers {
		least = min(least, acc.accrued(clock))
	}
	return least
}

// ahead estimates how many waiting requests are served before a new one of the
// account: of each caller no more than its fair share allows.
func (q *queue) ahead(acc *account, lowest rank) int {
	ahead := 0
	own := waitingUpTo(acc, lowest) + 1
	for _, other := range q.callers {
		waiting := waitingUpTo(other, lowest)
		if other != acc {
			waiting = min(waiting, (own*other.weight+acc.weight-1)/acc.weight)
		}
		ahead += waiting
	}
	return ahead
}

// waitingUpTo counts an account's requests of a rank and of those above it.
func waitingUpTo(acc *account, lowest rank) int {
	n := 0
	for r := rankHigh; r <= lowest; r++ {
		n += len(acc.waiting[r])
	}
	return n
}

// evict takes out the waiter that has to go when the queue holds too many: the
// last of the caller that would have accrued most service, given the mean
// service time in seconds; each rank counts as roomLead requests less.
func (q *queue) evict(clock, mean float64) *waiter {
	var worst *waiter
	var worstKey float64
	for _, acc := range q.callers {
		last := lastOf(acc)
		key := acc.projectedService(clock, mean) + evictionRankLead*mean*float64(last.rank)
		if worst == nil || key >= worstKey {
			worst, worstKey = last, key
		}
	}
	q.remove(worst)
	return worst
}

// lastOf returns the newest waiter of an account's lowest rank.
func lastOf(acc *account) *waiter {
	for r := rankLow; ; r-- {
		if waiters := acc.waiting[r]; len(waiters) > 0 {
			return waiters[len(waiters)-1]
		}
	}
}

// takeAll takes out all waiters and returns them.
func (q *queue) takeAll() []*waiter {
	var all []*waiter
	anyCaller := func(*account) bool { return true }
	for w := q.pop(0, 0, anyCaller); w != nil; w = q.pop(0, 0, anyCaller) {
		all = append(all, w)
	}
	return all
}
