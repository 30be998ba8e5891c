package config

import "maps"

// mergeInto applies patch to target, both objects, by RFC 7396: members of
// objects merge, null removes, any other value replaces the old one whole.
// Arrays are such other values: they are taken as they stand, nulls in them
// included. Nodes of patch become part of target.
func mergeInto(target, patch *node) {
	for name, change := range patch.members {
		if merged := mergeNode(target.members[name], change); merged != nil {
			target.members[name] = merged
		}
	}
}

// mergeNode returns old with change applied. old is nil if nothing was ever
// set, and so is the result if there is still nothing to tell.
func mergeNode(old, change *node) *node {
	switch {
	case change.kind == kindNull:
		if old != nil {
			old.remove(change.file)
		}
		return old
	case change.kind != kindObject:
		change.overridden = old.contributingFiles()
		return change
	case old == nil || old.kind != kindObject:
		old = replaceWithObject(old, change.file)
	}
	mergeInto(old, change)
	return old
}

// replaceWithObject returns an empty object in the place of old. It keeps what old knows
// of removed members, so that values set again name the files that they
// override.
func replaceWithObject(old *node, file string) *node {
	object := newObject(file)
	object.overridden = old.contributingFiles()
	if old != nil && old.kind == kindRemoved {
		maps.Copy(object.members, old.members)
	}
	return object
}
