package retry

import "sync/atomic"

// tokenUnit is one token; requests deposit hundredths of it.
const tokenUnit = 100

// Budget is a token bucket that requests fill and retries empty. Over any
// stretch of requests the tokens taken are at most burst + percent/100 ×
// requests. It holds no time, so an idle service gains nothing. The idea is
// the retry budget of Twitter's Finagle.
type Budget struct {
	balance  atomic.Int64
	percent  int64
	capacity atomic.Int64
}

// NewBudget returns a full bucket.
func NewBudget(percent, burst int) *Budget {
	b := &Budget{percent: int64(percent)}
	b.capacity.Store(int64(burst) * tokenUnit)
	b.balance.Store(b.capacity.Load())
	return b
}

// SetBurst changes how much the bucket holds. What is in it is cut to that, and a
// larger bucket gains nothing at once.
func (b *Budget) SetBurst(burst int) {
	capacity := int64(burst) * tokenUnit
	if b.capacity.Swap(capacity) == capacity {
		return
	}
	for {
		current := b.balance.Load()
		if current <= capacity || b.balance.CompareAndSwap(current, capacity) {
			return
		}
	}
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.DepositPercent(b.percent)
}

// DepositPercent counts one request that brings another share of a token than most.
func (b *Budget) DepositPercent(percent int64) {
	for {
		current, capacity := b.balance.Load(), b.capacity.Load()
		if current >= capacity {
			return
		}
		if b.balance.CompareAndSwap(current, min(current+percent, capacity)) {
			return
		}
	}
}

// Charge takes a token for a retry that is made whatever the bucket holds. What is owed
// is never more than the bucket can hold.
func (b *Budget) Charge() {
	for {
		current, capacity := b.balance.Load(), b.capacity.Load()
		if b.balance.CompareAndSwap(current, max(current-tokenUnit, -capacity)) {
			return
		}
	}
}

// Refund puts a token back that was taken for a retry that was not made.
func (b *Budget) Refund() {
	for {
		current, capacity := b.balance.Load(), b.capacity.Load()
		if b.balance.CompareAndSwap(current, min(current+tokenUnit, capacity)) {
			return
		}
	}
}

// TryWithdraw takes one token, or returns false when there is none.
func (b *Budget) TryWithdraw() bool {
	for {
		current := b.balance.Load()
		if current < tokenUnit {
			return false
		}
		if b.balance.CompareAndSwap(current, current-tokenUnit) {
			return true
		}
	}
}
