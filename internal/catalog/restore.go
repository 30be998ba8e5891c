package catalog

import (
	"time"

	"boragefall/internal/mesh"
)

// maxEndings limits the incarnations that are remembered as draining, leaving or gone. A
// restored copy is some seconds old; in that time a fleet of 1,800 servers may be replaced.
const maxEndings = 4096

// ending is the last that was known of an incarnation that receives no requests any more.
type ending struct {
	// started is the start time of the incarnation in Unix milliseconds.
	started int64
	// at is the version at which it was known to be draining, leaving or gone.
	at Version
}

// enterEra prepares the catalog for the first list or copy of a newer era and reports
// whether version is of one. What is missing from that list may only have been written
// after the copy from which the store was restored, so its grace period begins.
func (c *Catalog) enterEra(version Version, now time.Time) bool {
	if version.Era <= c.version.Era {
		return false
	}
	// Tombstones and gaps of older eras say nothing about the revisions of this one.
	for key, item := range c.items {
		if item.Deleted {
			delete(c.items, key)
		}
	}
	c.tombstones, c.gaps, c.compacted, c.eraStart = 0, nil, version, version
	if c.version.IsZero() {
		return true
	}
	if until := now.Add(ReregistrationGrace); until.After(c.graceUntil) {
		c.graceUntil = until
	}
	c.logger.Warn().Str("part", "catalog").Stringer("known", c.version).Uint64("era", version.Era).Uint64("revision", version.Revision).
		Msg("store was restored from an older copy")
	return true
}

// updateEnding records what a server's new listing says about the end of its incarnations.
func (c *Catalog) updateEnding(old, listing *Listing) {
	if old != nil && old.StartUnixMillis < listing.StartUnixMillis {
		c.rememberEnding(old.Server, listing.Version)
	}
	if listing.State == mesh.ServerDraining {
		c.rememberEnding(listing.Server, listing.Version)
		return
	}
	if known, ok := c.endings.Peek(listing.ID); ok && !listing.Withheld && known.started == listing.StartUnixMillis {
		c.endings.Remove(listing.ID) // ready again
	}
}

// rememberEnding records that an incarnation is draining, leaving or gone at a version.
func (c *Catalog) rememberEnding(server *mesh.Server, at Version) {
	if known, ok := c.endings.Peek(server.ID); ok {
		if known.started > server.StartUnixMillis {
			return
		}
		if known.started == server.StartUnixMillis {
			at = newest(known.at, at)
		}
	}
	c.endings.Add(server.ID, ending{started: server.StartUnixMillis, at: at})
}

// predatesEnding reports whether a record of a newer era may be older than what is known of
// the end of its incarnation.
func (c *Catalog) predatesEnding(server *mesh.Server, version Version) bool {
	known, ok := c.endings.Peek(server.ID)
	return ok && server.StartUnixMillis <= known.started && c.mayPredate(version, known.at)
}

// mayPredate reports whether a record of a newer era may be older than one of a known
// version. Up to the restored copy, the eras have the same revisions: a record with a greater
// revision, or one written after the first list of its era, is newer.
func (c *Catalog) mayPredate(version, known Version) bool {
	return version.Era > known.Era && version.Revision <= min(known.Revision, c.eraStart.Revision)
}

// keepEvacuation keeps an evacuation that is missing from the first list of an era in force
// until the end of the grace period.
func (c *Catalog) keepEvacuation(dataCentre string, version Version) {
	c.evacuatedUntil[dataCentre] = c.graceUntil
	c.logger.Info().Str("part", "catalog").Str("data_centre", dataCentre).Uint64("era", version.Era).Uint64("revision", version.Revision).
		Msg("evacuation kept for now: it is missing since the store was restored")
}

// expireEvacuations ends the missing evacuations whose grace period is over. It reports
// whether it ended any.
func (c *Catalog) expireEvacuations(now time.Time) bool {
	ended := false
	for dataCentre, until := range c.evacuatedUntil {
		if now.Before(until) {
			continue
		}
		c.applyEvacuation(dataCentre, false, c.version)
		ended = true
	}
	return ended
}
