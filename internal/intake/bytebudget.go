package intake

import "sync/atomic"

// byteBudget bounds the bytes of all buffered bodies. A part is kept for
// small bodies, so that large uploads can't crowd them out.
type byteBudget struct {
	used             atomic.Int64
	limit            int64
	reservedForSmall int64
}

// reserve takes n bytes, of the kept part too when small is set, or returns false.
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

// release returns n bytes.
func (b *byteBudget) release(n int64) {
	b.used.Add(-n)
}
