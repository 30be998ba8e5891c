package catalog

import (
	"cmp"
	"fmt"
)

// Version orders the data read from the store. The store's era is incremented when the
// store is restored from an older copy; revisions are only comparable within an era. A
// store that states no era is in era 0.
type Version struct {
	Era, Revision uint64
}

// Compare returns -1, 0 or 1 if v is older than, the same as or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// IsNewerThan reports whether v is newer than other.
func (v Version) IsNewerThan(other Version) bool {
	return v.Compare(other) > 0
}

// IsZero reports whether v is the version of an empty catalog.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns "era.revision".
func (v Version) String() string {
	return fmt.Sprintf("%d.%d", v.Era, v.Revision)
}

// next returns the version after v in the same era.
func (v Version) next() Version {
	return Version{Era: v.Era, Revision: v.Revision + 1}
}

// newest returns the newer of two versions.
func newest(a, b Version) Version {
	if b.IsNewerThan(a) {
		return b
	}
	return a
}
