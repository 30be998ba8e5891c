package feed

import (
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/catalog"
)

// errOlderEra reports that a response is of an older era of the store than the catalog.
var errOlderEra = eris.New("response is of an older era of the store")

// errNewerEra reports that the response to a watch is of a newer era than the revision from
// which it started.
var errNewerEra = eris.New("store was restored from an older copy")

// resultOlderEra is the result of a call whose response is of an older era.
const resultOlderEra = "older_era"

// eraTime is a time in an era of the store. It includes a monotonic clock reading, since
// the wall clock may jump.
type eraTime struct {
	era uint64
	at  time.Time
}

// noteEra records that the store has reached an era.
func (f *Feed) noteEra(era uint64) {
	for {
		known := f.newestEra.Load()
		if era <= known || f.newestEra.CompareAndSwap(known, era) {
			return
		}
	}
}

// checkEra returns an error unless a response is of the newest known era. err is the error
// of the call, which may state a newer era, too.
func (f *Feed) checkEra(call string, version catalog.Version, err error) error {
	f.noteEra(version.Era)
	if err == nil && version.Era < f.newestEra.Load() {
		return f.olderEra(call, version)
	}
	return err
}

// olderEra records that something of an older era than the newest known one is discarded.
func (f *Feed) olderEra(source string, version catalog.Version) error {
	f.logger.Warn().Str("part", "feed").Str("source", source).Uint64("era", version.Era).Uint64("revision", version.Revision).
		Stringer("known", f.catalog.Version()).Uint64("newest_era", f.newestEra.Load()).Msg("discarded data of an older era of the store")
	return eris.Wrapf(errOlderEra, "%s of version %v", source, version)
}

// mergePeerState merges a peer's state of any age. What the peer proves counts from the
// beginning of the request, since the time that the answer took to arrive is unknown.
//
// A state of an older era, or an incomplete one of a newer era, is discarded: neither its
// items nor its age say anything about the present era. Only a node without a complete copy
// takes the items of an older era, since it can't serve requests otherwise.
func (f *Feed) mergePeerState(state PeerState, began time.Duration, now time.Time) error {
	era, known := state.Version.Era, f.catalog.Version().Era
	f.noteEra(era)
	outdated := era < f.newestEra.Load()
	if outdated && f.complete.Load() || !f.catalog.Merge(state.Changes, now) {
		f.meter.StoreCalled("peer", resultOlderEra)
		return f.olderEra("peer", state.Version)
	}
	if state.Complete {
		f.complete.Store(true)
	}
	if outdated {
		return f.olderEra("peer", state.Version)
	}
	if era > known {
		f.setCurrent(era, now.Add(-state.Age)) // what was known of an older era doesn't count
	}
	if state.Proof != nil {
		f.setProven(era, began+state.Proof.Held-state.Proof.Age)
	}
	return nil
}
