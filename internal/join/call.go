package join

import "context"

// Answer is what the work of a call returns.
type Answer[T any] struct {
	// Value is the answer itself.
	Value T
	// Shared reports that Value is whole, immutable and small enough to give to
	// every waiter. Otherwise exactly one waiter gets it.
	Shared bool
}

// Call is one request that may join an identical one.
type Call[K comparable, T any] struct {
	// Key is equal for identical requests only: it holds the caller, the
	// route, the idempotency key and the digest of the body.
	Key K
	// Idempotent permits ending the work when no waiter is left.
	Idempotent bool
	// Work sends the request. Its context has the deadline of the first waiter
	// and ends with the group's decision, not with that waiter. For an unshared
	// answer the context lives as long as that of the waiter who got it.
	Work func(context.Context) (Answer[T], error)
}
