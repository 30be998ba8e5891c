package catalog

import (
	"bytes"
	"time"

	"boragefall/internal/mesh"
)

// applyItem applies an item unless the catalog has the same or a newer version of its
// key. It reports whether the view may have changed.
func (c *Catalog) applyItem(d decodedItem, now time.Time) bool {
	item, record, err := d.Item, d.record, d.err
	if !c.isNew(item) {
		return false
	}
	replaced := c.items[item.Key]
	c.storeItem(item)
	if err != nil {
		c.logger.Warn().Str("part", "catalog").Str("key", item.Key).Uint64("era", item.Version.Era).Uint64("revision", item.Version.Revision).
			Err(err).Msg("store item is invalid")
	}
	switch record.Subject {
	case SubjectConfig:
		c.applyConfig(record.Config, item)
	case SubjectServer:
		c.applyServer(record, item, replaced, err != nil, now)
	case SubjectEvacuation:
		c.applyEvacuation(record.DataCentre, !item.Deleted, item.Version)
	default:
		return false
	}
	return true
}

// storeItem stores an item, and discards older tombstones when there are too many.
func (c *Catalog) storeItem(item Item) {
	if c.items[item.Key].Deleted {
		c.tombstones--
	}
	c.items[item.Key] = item
	if !item.Deleted {
		return
	}
	c.tombstones++
	if c.tombstones <= maxTombstones {
		return
	}
	for key, old := range c.items {
		if old.Deleted && key != item.Key {
			c.compacted = newest(c.compacted, old.Version)
			delete(c.items, key)
		}
	}
	c.tombstones = 1
}

// applyConfig replaces the configuration. The active configuration stays when the new one
// is invalid or not newer. In a newer era, another configuration may have the same version.
func (c *Catalog) applyConfig(config *mesh.Config, item Item) {
	if config == nil {
		return
	}
	if c.config != nil {
		restored := item.Version.Era > c.configItem.Version.Era
		switch {
		case config.Version < c.config.Version:
			if restored {
				c.logger.Warn().Str("part", "catalog").Uint64("version", c.config.Version).Uint64("stored", config.Version).
					Uint64("era", item.Version.Era).Uint64("revision", item.Version.Revision).Msg("restored configuration is older than the one in force, which stays")
			}
			return
		case config.Version == c.config.Version && !restored:
			return
		case config.Version == c.config.Version && bytes.Equal(item.Value, c.configItem.Value):
			c.configItem = item
			return
		}
	}
	c.config, c.configItem, c.routes = config, item, mesh.NewRouteTable(config)
	c.logger.Info().Str("part", "catalog").Uint64("version", config.Version).Uint64("era", item.Version.Era).Uint64("revision", item.Version.Revision).
		Int("routes", len(config.Routes)).Int("defects", len(config.Defects)).Msg("configuration in force")
	for _, defect := range config.Defects[:min(len(config.Defects), maxLoggedDefects)] {
		c.logger.Warn().Str("part", "catalog").Uint64("version", config.Version).Str("name", defect.Name).
			Str("problem", defect.Problem).Msg("part of the configuration not understood")
	}
}

// applyServer applies the record of a server. replaced is the item that the record's item
// replaces.
func (c *Catalog) applyServer(record Record, item, replaced Item, malformed bool, now time.Time) {
	id := record.ServerID
	if record.Server == nil {
		c.removeServer(id, item.Version, malformed, now)
		return
	}
	old := c.servers[id]
	withheld := c.predatesEnding(record.Server, item.Version)
	if old != nil && old.StartUnixMillis > record.Server.StartUnixMillis && (withheld || c.mayPredate(item.Version, old.Version)) {
		c.removeServer(id, item.Version, false, now) // the record of the newer incarnation is missing
		return
	}
	delete(c.suspectUntil, id)
	listing := &Listing{Server: record.Server, Version: item.Version, FirstSeen: now, Withheld: withheld}
	if record.Server.ColdFor > 0 {
		listing.ColdUntil = now.Add(record.Server.ColdFor)
	}
	if old != nil && old.SameIncarnation(record.Server) {
		listing.FirstSeen = old.FirstSeen
		sameRecord := bytes.Equal(item.Value, replaced.Value)
		if item.Version.Era > old.Version.Era && (sameRecord || old.ColdUntil.After(listing.ColdUntil)) {
			// The warm-up counts from the first time that the record was read, and a record
			// from the lost seconds may have stated a longer one.
			listing.ColdUntil = old.ColdUntil
		}
	}
	c.updateEnding(old, listing)
	c.servers[id] = listing
	if old == nil || old.State != listing.State || old.Withheld != listing.Withheld || !old.SameIncarnation(record.Server) {
		c.logger.Info().Str("part", "catalog").Str("server", string(id)).Str("service", listing.Service).
			Str("address", listing.Address).Bool("draining", listing.State == mesh.ServerDraining).Bool("withheld", listing.Withheld).
			Dur("cold_for", record.Server.ColdFor).Uint64("era", item.Version.Era).Uint64("revision", item.Version.Revision).Msg("server registered")
	}
}

// removeServer removes a server, or marks it as suspect when its record may have ended
// only because the store was unavailable or was restored.
func (c *Catalog) removeServer(id mesh.ServerID, version Version, malformed bool, now time.Time) {
	known, ok := c.servers[id]
	if !ok {
		return
	}
	if !malformed && known.State == mesh.ServerReady && !known.Withheld && (c.storeUnavailable || now.Before(c.graceUntil)) {
		suspect := *known
		suspect.Suspect, suspect.Version = true, version
		c.servers[id] = &suspect
		c.suspectUntil[id] = c.graceUntil
		c.logger.Info().Str("part", "catalog").Str("server", string(id)).Uint64("era", version.Era).Uint64("revision", version.Revision).
			Msg("server suspect: its record ended while the store was away")
		return
	}
	delete(c.suspectUntil, id)
	delete(c.servers, id)
	c.rememberEnding(known.Server, version)
	c.logger.Info().Str("part", "catalog").Str("server", string(id)).Uint64("era", version.Era).Uint64("revision", version.Revision).Msg("server gone")
}

func (c *Catalog) applyEvacuation(dataCentre string, on bool, version Version) {
	delete(c.evacuatedUntil, dataCentre)
	if c.evacuated[dataCentre] == on {
		return
	}
	if on {
		c.evacuated[dataCentre] = true
	} else {
		delete(c.evacuated, dataCentre)
	}
	c.logger.Info().Str("part", "catalog").Str("data_centre", dataCentre).Bool("evacuated", on).
		Uint64("era", version.Era).Uint64("revision", version.Revision).Msg("evacuation changed")
}

// deleteMissing deletes the items that are missing from a complete list. restored reports
// that the list is the first one of its era.
func (c *Catalog) deleteMissing(listed map[string]bool, version Version, restored bool, now time.Time) {
	for key, item := range c.items {
		if listed[key] || item.Deleted || item.Version.IsNewerThan(version) {
			continue
		}
		deletion := Item{Key: key, Version: newest(item.Version.next(), version), Deleted: true}
		d := decodedItem{Item: deletion}
		d.record, d.err = c.decoder.Decode(deletion) // cheap, since a deleted item has no value
		if restored && d.record.Subject == SubjectEvacuation && c.evacuated[d.record.DataCentre] {
			c.storeItem(deletion)
			c.keepEvacuation(d.record.DataCentre, version)
			continue
		}
		c.applyItem(d, now)
	}
}

// expire removes the suspect servers and ends the missing evacuations whose grace period
// is over. It reports whether it changed anything.
func (c *Catalog) expire(now time.Time) bool {
	if c.storeUnavailable {
		return false
	}
	changed := c.expireEvacuations(now)
	for id, until := range c.suspectUntil {
		if now.Before(until) {
			continue
		}
		c.rememberEnding(c.servers[id].Server, c.servers[id].Version)
		delete(c.suspectUntil, id)
		delete(c.servers, id)
		changed = true
		c.logger.Info().Str("part", "catalog").Str("server", string(id)).Msg("suspect server gone")
	}
	return changed
}
