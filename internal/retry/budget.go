package retry

import "sync/atomic"

// tokenUnit is the balance of one token. The balance is kept in hundredths of a token,
// so that a request can deposit a percentage of one.
const tokenUnit = 100

// Budget is a token bucket that requests fill and retries drain, after the retry budget
// of Twitter's Finagle. Over any series of requests, at most burst + percent/100 ×
// requests tokens are withdrawn. Deposits depend on requests and not on time, so an idle
// service accumulates no tokens.
type Budget struct {
	balance  atomic.Int64
	percent  int64
	capacity atomic.Int64
}

// NewBudget returns a full Budget.
func NewBudget(percent, burst int) *Budget {
	b := &Budget{percent: int64(percent)}
	b.capacity.Store(int64(burst) * tokenUnit)
	b.balance.Store(b.capacity.Load())
	return b
}

// SetBurst changes the capacity of the bucket. A balance above the new capacity is cut
// to it; a larger capacity adds no tokens by itself.
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

// Deposit adds the configured percentage of a token for one request.
func (b *Budget) Deposit() {
	b.DepositPercent(b.percent)
}

// DepositPercent adds the given percentage of a token for one request, for requests
// whose share differs from the configured one.
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

// Charge withdraws a token for a retry that is made even when the bucket is empty. The
// balance may become negative, down to minus the capacity.
func (b *Budget) Charge() {
	for {
		current, capacity := b.balance.Load(), b.capacity.Load()
		if b.balance.CompareAndSwap(current, max(current-tokenUnit, -capacity)) {
			return
		}
	}
}

// Refund returns a token that was withdrawn for a retry that was not made.
func (b *Budget) Refund() {
	for {
		current, capacity := b.balance.Load(), b.capacity.Load()
		if b.balance.CompareAndSwap(current, min(current+tokenUnit, capacity)) {
			return
		}
	}
}

// TryWithdraw withdraws one token. It returns false when less than one is left.
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
