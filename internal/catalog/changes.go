package catalog

import "slices"

// ChangesSince returns the items that changed after a version, and the catalog's version.
// When it does not hold all deletions since that version, or the version is of another era,
// it returns all existing items instead, and Complete is true.
func (c *Catalog) ChangesSince(version Version) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := Changes{Complete: version.Era != c.version.Era || c.lacksDeletionsSince(version), Version: c.version}
	changes.Gapless = !changes.Complete &&
		!slices.ContainsFunc(c.gaps, func(gap versionRange) bool { return gap.before.IsNewerThan(version.next()) })
	for _, item := range c.items {
		if changes.Complete && !item.Deleted || !changes.Complete && item.Version.IsNewerThan(version) {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes
}

// Changes is what changed in a store since a version.
type Changes struct {
	// Items are the items that changed since; if Complete is set, all that exist.
	Items    []Item
	Complete bool
	// Gapless reports that Items hold all deletions since the version, also of items that
	// were created after it.
	Gapless bool
	// Version is the version of the store after the changes.
	Version Version
}

// versionRange is a range of versions of one era without its ends.
type versionRange struct {
	after, before Version
}

func (r versionRange) contains(version Version) bool {
	return version.IsNewerThan(r.after) && r.before.IsNewerThan(version)
}

// lacksDeletionsSince reports whether a replica at a version may hold items that were
// deleted since and of which the catalog has no tombstone.
func (c *Catalog) lacksDeletionsSince(version Version) bool {
	return c.compacted.IsNewerThan(version) ||
		slices.ContainsFunc(c.gaps, func(gap versionRange) bool { return gap.contains(version) })
}

// skipTo records that a list or a copy takes the catalog from its version to a later one.
func (c *Catalog) skipTo(version Version) {
	switch {
	case !version.IsNewerThan(c.version):
		return
	case c.compacted.IsNewerThan(c.version):
		c.compacted = newest(c.compacted, version)
		return
	case c.version.next() == version:
		return // nothing was skipped
	}
	if len(c.gaps) == maxGaps {
		c.compacted = newest(c.compacted, c.gaps[0].before)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
	c.gaps = append(c.gaps, versionRange{after: c.version, before: version})
}

// isOutdated reports whether an item that the catalog does not have may have been deleted
// since, as the list or event that holds it is older than the catalog. listed is the
// version of the list, the zero version for an event.
func (c *Catalog) isOutdated(item Item, listed Version) bool {
	if known, ok := c.items[item.Key]; item.Deleted || ok && !known.Deleted {
		return false
	}
	at := newest(listed, item.Version)
	return c.version.IsNewerThan(at) && c.lacksDeletionsSince(at)
}
