package spread

import (
	"time"

	"boragefall/internal/config"
	"boragefall/internal/wire"
)

// Limits of the state that a node keeps for each document.
const (
	maxOffers     = 16
	maxRejections = 16
)

// offer is a version that a peer announced.
type offer struct {
	address string
	version config.Version
	hash    config.Hash
}

// Rejection is a version that failed validation on this node.
type Rejection struct {
	Kind wire.DocumentKind
	// Version is the announced version. The epoch of an invalid document is unknown, so
	// a version from the source has the epoch of the preceding version.
	Version config.Version
	Hash    config.Hash
	// FromSource reports that the version was read from the source, not from a peer.
	FromSource bool
	Reason     string
	At         time.Time
}

// document is the state of one kind of document.
type document struct {
	kind    wire.DocumentKind
	current *Bundle
	// floor is the oldest version that may be applied: the applied version, or, before
	// the first one, the newest version that a peer announced.
	floor    config.Version
	offers   []offer
	rejected []Rejection
	pull     *pull
}

// shouldReplace reports whether a version may replace the current version.
func (d *document) shouldReplace(v config.Version) bool {
	if d.current == nil {
		return !v.Less(d.floor)
	}
	return d.floor.Less(v)
}

// addOffer stores an offer, at most one for each address.
func (d *document) addOffer(o offer) {
	if d.current == nil && d.floor.Less(o.version) {
		d.floor = o.version
	}
	d.removeOffer(o.address)
	if !d.shouldReplace(o.version) || d.isRejected(o) {
		return
	}
	if len(d.offers) == maxOffers {
		d.dropOldestOffer()
	}
	d.offers = append(d.offers, o)
}

func (d *document) removeOffer(address string) {
	kept := d.offers[:0]
	for _, o := range d.offers {
		if o.address != address {
			kept = append(kept, o)
		}
	}
	d.offers = kept
}

// dropOldestOffer removes the offer of the oldest version.
func (d *document) dropOldestOffer() {
	oldest := 0
	for i, o := range d.offers {
		if o.version.Less(d.offers[oldest].version) {
			oldest = i
		}
	}
	d.offers = append(d.offers[:oldest], d.offers[oldest+1:]...)
}

// pruneOffers removes the offers that can't replace the current version or were rejected.
func (d *document) pruneOffers() {
	kept := d.offers[:0]
	for _, o := range d.offers {
		if d.shouldReplace(o.version) && !d.isRejected(o) {
			kept = append(kept, o)
		}
	}
	d.offers = kept
}

// newestOffer returns the offer of the newest version.
func (d *document) newestOffer() (offer, bool) {
	if len(d.offers) == 0 {
		return offer{}, false
	}
	best := d.offers[0]
	for _, o := range d.offers[1:] {
		if best.version.Less(o.version) {
			best = o
		}
	}
	return best, true
}

func (d *document) isRejected(o offer) bool {
	for _, r := range d.rejected {
		if r.Version == o.version && r.Hash == o.hash {
			return true
		}
	}
	return false
}

func (d *document) isRejectedFromSource(revision uint64, hash config.Hash) bool {
	for _, r := range d.rejected {
		if r.FromSource && r.Version.Revision == revision && r.Hash == hash {
			return true
		}
	}
	return false
}

func (d *document) addRejection(r Rejection) {
	if len(d.rejected) == maxRejections {
		d.rejected = d.rejected[1:]
	}
	d.rejected = append(d.rejected, r)
	d.pruneOffers()
}

// announcement returns the announcement of the current version, or nil when there is
// none.
func (d *document) announcement() *wire.DocumentVersion {
	if d.current == nil {
		return nil
	}
	return &wire.DocumentVersion{
		Kind:         d.kind,
		Version:      versionToWire(d.current.Version),
		ManifestHash: d.current.Hash[:],
	}
}
