package gate

import (
	"slices"
)

// lowerRankTurn gives each so many-th slot to the lowest rank that waits, so
// that a stream of urgent requests can't starve the others.
const lowerRankTurn = 10

// queue holds the waiting requests: by rank, and within a rank fair between
// callers. It is not safe for concurrent use.
type queue struct {
	// callers lists the accounts with waiting requests, in order of arrival.
	callers []*account
	total   int
	perRank [ranks]int
	turns   int
}

// push adds a waiter.
func (q *queue) push(w *waiter) {
	acc := w.account
	if acc.queued == 0 {
		q.callers = append(q.callers, acc)
	}
	acc.waiting[w.rank] = append(acc.waiting[w.rank], w)
	acc.queued++
	q.perRank[w.rank]++
	q.total++
}

// remove takes out a waiter that is in the queue.
func (q *queue) remove(w *waiter) {
	acc := w.account
	line := acc.waiting[w.rank]
	i := slices.Index(line, w)
	if i < 0 {
		return
	}
	acc.waiting[w.rank] = slices.Delete(line, i, i+1)
	acc.queued--
	q.perRank[w.rank]--
	q.total--
	if acc.queued == 0 {
		q.callers = slices.DeleteFunc(q.callers, func(a *account) bool { return a == acc })
	}
}

// pop takes out the next waiter: of the highest rank, or each tenth time of the
// lowest, the oldest request of the caller with the least service.
func (q *queue) pop() *waiter {
	if q.total == 0 {
		return nil
	}
	q.turns++
	level := q.nextRank()
	var best *account
	for _, acc := range q.callers {
		if len(acc.waiting[level]) > 0 && (best == nil || acc.service < best.service) {
			best = acc
		}
	}
	w := best.waiting[level][0]
	q.remove(w)
	return w
}

func (q *queue) nextRank() rank {
	waits := func(r rank) bool { return q.perRank[r] > 0 }
	if q.turns%lowerRankTurn == 0 {
		for r := rankLow; r > rankHigh; r-- {
			if waits(r) {
				return r
			}
		}
	}
	for r := rankHigh; r < rankLow; r++ {
		if waits(r) {
			return r
		}
	}
	return rankLow
}

// ahead estimates how many waiting requests are served before a new one of the
// account: of each caller no more than its fair share allows.
func (q *queue) ahead(acc *account, level rank) int {
	ahead := 0
	own := waitingUpTo(acc, level) + 1
	for _, other := range q.callers {
		waiting := waitingUpTo(other, level)
		if other != acc {
			waiting = min(waiting, (own*other.weight+acc.weight-1)/acc.weight)
		}
		ahead += waiting
	}
	return ahead
}

// waitingUpTo counts an account's requests of a rank and of those above it.
func waitingUpTo(acc *account, level rank) int {
	n := 0
	for r := rankHigh; r <= level; r++ {
		n += len(acc.waiting[r])
	}
	return n
}

// victim returns the waiter that makes room for w in a full queue: the newest
// of the lowest rank of the caller that holds most for its weight. It is nil
// when w itself has to go.
func (q *queue) victim(w *waiter) *waiter {
	greediest := q.greediest(w.account)
	own := w.account.share(1)
	if greediest != nil && greediest.share(0) > own {
		return lastOf(greediest)
	}
	// On a level with the greediest, rank decides.
	var worst *waiter
	for _, acc := range q.callers {
		last := lastOf(acc)
		level := acc == w.account || acc.share(0) >= own
		if level && last.rank > w.rank && (worst == nil || last.rank > worst.rank) {
			worst = last
		}
	}
	return worst
}

// greediest returns the account other than own that holds most for its weight.
func (q *queue) greediest(own *account) *account {
	var greediest *account
	for _, acc := range q.callers {
		if acc != own && (greediest == nil || acc.share(0) > greediest.share(0)) {
			greediest = acc
		}
	}
	return greediest
}

// lastOf returns the newest waiter of an account's lowest rank.
func lastOf(acc *account) *waiter {
	for r := rankLow; ; r-- {
		if line := acc.waiting[r]; len(line) > 0 {
			return line[len(line)-1]
		}
	}
}

// drop takes out all waiters and returns them.
func (q *queue) drop() []*waiter {
	var all []*waiter
	for q.total > 0 {
		all = append(all, q.pop())
	}
	return all
}
