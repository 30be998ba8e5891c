package retry

import "sync/atomic"

// tokenUnit is one token; requests deposit hundredths of it.
const tokenUnit = 100

// Budget is a token bucket that requests fill and retries empty. Over any
// stretch of requests the tokens taken are at most burst + percent/100 ×
// requests. It holds no time, so an idle service gains nothing. The idea is
// the retry budget of Twitter's Finagle.
type Budget struct {
	hundredths atomic.Int64
	percent    int64
	full       int64
}

// NewBudget returns a full bucket.
func NewBudget(percent, burst int) *Budget {
	b := &Budget{percent: int64(percent), full: int64(burst) * tokenUnit}
	b.hundredths.Store(b.full)
	return b
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	for {
		current := b.hundredths.Load()
		if current >= b.full {
			return
		}
		if b.hundredths.CompareAndSwap(current, min(current+b.percent, b.full)) {
			return
		}
	}
}

// Take takes one token, or returns false when there is none.
func (b *Budget) Take() bool {
	for {
		current := b.hundredths.Load()
		if current < tokenUnit {
			return false
		}
		if b.hundredths.CompareAndSwap(current, current-tokenUnit) {
			return true
		}
	}
}
