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

// proof bounds the age of the catalog within an era of the store.
type proof struct {
	era uint64
	// asOf is the latest reading of Config.Clock for which it is proven that the catalog
	// holds every change made before it.
	asOf time.Duration
}

// ProvenAge returns an upper bound on the age of the catalog: every change that the store
// acknowledged longer ago is in it. It returns false if nothing is proven: also from the
// time at which the node learns of a newer era until it has read that era's items. A caller
// that needs the bound for a view has to call ProvenAge before it reads the view.
func (f *Feed) ProvenAge() (time.Duration, bool) {
	known := f.proven.Load()
	if known == nil || known.era != f.newestEra.Load() || known.era != f.catalog.View().Version.Era {
		return 0, false
	}
	return f.cfg.Clock() - known.asOf, true
}

// setProven records that the catalog, whose data is of an era, holds every change made
// before a reading of the clock.
func (f *Feed) setProven(era uint64, at time.Duration) {
	for {
		known := f.proven.Load()
		if known != nil && (era < known.era || era == known.era && at <= known.asOf) {
			return
		}
		if f.proven.CompareAndSwap(known, &proof{era: era, asOf: at}) {
			return
		}
	}
}
