package sidecar

import (
	"time"

	"boragefall/internal/verdict"
)

const (
	// keyAgeShare is the share of the limit on key revocation up to which the age of a
	// copy may grow before keys are no longer accepted. The rest covers a watch of the
	// store that was deaf for a second without an error.
	keyAgeShare = 0.7
	// staleRetryAfter is the time in which a node usually obtains a newer copy, or its
	// callers are directed to another node.
	staleRetryAfter = 300 * time.Millisecond
)

// copyAge decides what a node may conclude from its copy of the store, given the proven
// bound on the age of that copy.
type copyAge struct {
	// proven returns an upper bound on the age of the copy, and false if there is none.
	proven func() (time.Duration, bool)
	// propagationLimit is the time within which a change has to be in force.
	propagationLimit time.Duration
	// revocationLimit is the time after which a removed key must not be accepted; 0 sets
	// no limit.
	revocationLimit time.Duration
}

// read returns the present age. It has to be called before the view is read.
func (a copyAge) read() provenAge {
	age, known := a.proven()
	return provenAge{limits: a, age: age, known: known}
}

// provenAge is the age of a copy at the start of a request.
type provenAge struct {
	limits copyAge
	age    time.Duration
	known  bool
}

// refuseUnknown returns the refusal of a request whose route or key is not in the copy. The
// reason holds only if the copy is recent: the route or key may just have been added.
func (a provenAge) refuseUnknown(reason verdict.Reason) *verdict.Error {
	if !a.known || a.age > a.limits.propagationLimit {
		// Proof: without a route and a workspace nothing is sent.
		return verdict.Refuse(verdict.ReasonStaleConfig, staleRetryAfter)
	}
	// Proof: as above.
	return verdict.Refuse(reason, 0)
}

// keyRefusal returns the refusal of every request with a key if a key in the copy may have
// been removed too long ago, or nil.
func (a provenAge) keyRefusal() *verdict.Error {
	limit := time.Duration(keyAgeShare * float64(a.limits.revocationLimit))
	if a.limits.revocationLimit <= 0 || a.known && a.age <= limit {
		return nil
	}
	// Proof: the request is refused before it is sent.
	return verdict.Refuse(verdict.ReasonStaleConfig, staleRetryAfter)
}
