package intake

import "sync/atomic"

// byteBudget bounds the bytes of all buffered bodies. A part of it is reserved for small
// bodies, so that large uploads can't use up the whole budget.
type byteBudget struct {
	used             atomic.Int64
	limit            int64
	reservedForSmall int64
}

// reserve reserves n bytes and returns false when they are not available. Only small bodies
// may use the part reserved for them.
func (b *byteBudget) reserve(n int64, small bool) bool {
	limit := b.limit
	if !small {
		limit -= b.reservedForSmall
	}
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int64) {
	b.used.Add(-n)
}
