package ledger

import (
	"time"

	"boragefall/internal/idempotency"
	"boragefall/internal/verdict"
)

// Request is what the ledger needs to know of a keyed request.
type Request struct {
	// Key is the caller's or the entry's key.
	Key idempotency.Key
	// ScopedKey is idempotency.ScopedKey of the caller and the key.
	ScopedKey string
	// Digest is the digest of the body; the zero value is not compared.
	Digest [32]byte
	// ResendWindow is how long after the boot untimed keys are refused.
	ResendWindow time.Duration
	// RefuseUntimed refuses keys without a time.
	RefuseUntimed bool
	// Ownership is the result of ownership.Machine.MayRun for the same request,
	// nil when the gate may run the key. It counts only for keys that the ledger
	// doesn't hold, so that a gate without a lease still answers from the ledger.
	Ownership *verdict.Error
}

// Kind is what to do with a request.
type Kind uint8

// Kinds of decisions. The zero value refuses.
const (
	Refuse           Kind = iota // fail with Decision.Refusal
	Run                          // run it, then call Decision.Entry.Finish
	Join                         // wait for Decision.Entry.Done, then read Result
	Replay                       // answer with Decision.Answer
	RanWithoutAnswer             // it ran and its answer is not stored
	Conflict                     // the same key with another body; answer 422
)

// Decision is what to do with a request.
type Decision struct {
	Kind Kind
	// Entry is set for Run and Join.
	Entry *Entry
	// Answer is set for Replay.
	Answer *Answer
	// Refusal is set for Refuse, RanNoAnswer and Conflict.
	Refusal *verdict.Error
}
