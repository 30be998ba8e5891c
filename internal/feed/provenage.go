package feed

import "time"

// PeerProof bounds the age of a peer's copy.
type PeerProof struct {
	// Age is the proven age of the copy when the peer answered.
	Age time.Duration
	// Held is the time from the arrival of the request at the peer until its answer, by
	// the peer's clock.
	Held time.Duration
}

// ProvenAge returns an upper bound on the age of the catalog: every change that the store
// acknowledged longer ago is in it. It returns false if nothing is proven. A caller that
// needs the bound for a view has to call ProvenAge before it reads the view.
func (f *Feed) ProvenAge() (time.Duration, bool) {
	at := f.provenAsOf.Load()
	if at == 0 {
		return 0, false
	}
	return f.cfg.Clock() - time.Duration(at), true
}

// setProven records that the catalog holds every change made before a reading of the
// clock.
func (f *Feed) setProven(at time.Duration) {
	for {
		known := f.provenAsOf.Load()
		if int64(at) <= known || f.provenAsOf.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}
