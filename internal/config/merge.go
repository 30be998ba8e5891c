package config

import "maps"

// mergeInto applies patch to target, both objects, by RFC 7396: objects merge by
// member, null removes a member, and any other value replaces the old one. Arrays
// are replaced as a whole and may contain nulls. Nodes of patch become part of
// target.
func mergeInto(target, patch *node) {
	for name, change := range patch.members {
		if merged := mergeNode(target.members[name], change); merged != nil {
			target.members[name] = merged
		}
	}
}

// mergeNode returns old with change applied. old is nil if no file has set or
// removed a value; the result is nil if change is a null and old is nil.
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

// replaceWithObject returns an empty object that replaces old. It keeps the
// removed members of a removed object, so that members set again list the files
// that they override.
func replaceWithObject(old *node, file string) *node {
	object := newObject(file)
	object.overridden = old.contributingFiles()
	if old != nil && old.kind == kindRemoved {
		maps.Copy(object.members, old.members)
	}
	return object
}
