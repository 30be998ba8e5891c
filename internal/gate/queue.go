package gate

import (
	"math"
	"slices"
)

// evictionRankWorthRequests is the service time, in mean requests, that one rank is worth
// when the queue is full. It lets a high-priority request replace another caller's only request of
// a lower rank, but keeps a burst of high-priority requests from filling the queue.
const evictionRankWorthRequests = 2

// queue holds the waiting requests and shares slots fairly between callers, by rank. It
// is not safe for concurrent use.
type queue struct {
	// callers lists the accounts with waiting requests, in order of arrival.
	callers []*account
	total   int
}

func (q *queue) push(w *waiter) {
	acc := w.account
	if acc.queued == 0 {
		q.callers = append(q.callers, acc)
	}
	acc.waiting[w.rank] = append(acc.waiting[w.rank], w)
	acc.queued++
	q.total++
}

// remove removes a waiter if it is in the queue.
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

// pop removes and returns the next waiter, or nil if no caller may start one. It takes
// the oldest request of the highest rank from the caller with the least used time.
// Each rank makes up for rankWorth seconds of used time, so a stream of high-priority
// requests goes first for a while and then gets its fair share.
func (q *queue) pop(clock, rankWorth float64, mayStart func(*account) bool) *waiter {
	var best *account
	var bestKey float64
	for _, acc := range q.callers {
		key := acc.accrued(clock) - rankWorth*float64(rankLow-acc.highestRank())
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

// leastUsedTime returns the least used time among the waiting callers.
func (q *queue) leastUsedTime(clock float64) float64 {
	least := math.Inf(1)
	for _, acc := range q.callers {
		least = min(least, acc.accrued(clock))
	}
	return least
}

// ahead estimates how many waiting requests are served before a new one of the account.
// Each other caller counts with no more requests than its fair share.
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

// waitingUpTo counts an account's requests of the given rank and of higher ranks.
func waitingUpTo(acc *account, lowest rank) int {
	n := 0
	for r := rankHigh; r <= lowest; r++ {
		n += len(acc.waiting[r])
	}
	return n
}

// evict removes and returns a waiter when the queue is over its limit: the last one of
// the caller with the highest projected used time. mean is the mean service time in
// seconds. Each rank counts as evictionRankWorthRequests requests less.
func (q *queue) evict(clock, mean float64) *waiter {
	var worst *waiter
	var worstKey float64
	for _, acc := range q.callers {
		last := lastOf(acc)
		key := acc.projectedUsedTime(clock, mean) + evictionRankWorthRequests*mean*float64(last.rank)
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

// takeAll removes and returns all waiters.
func (q *queue) takeAll() []*waiter {
	var all []*waiter
	anyCaller := func(*account) bool { return true }
	for w := q.pop(0, 0, anyCaller); w != nil; w = q.pop(0, 0, anyCaller) {
		all = append(all, w)
	}
	return all
}
