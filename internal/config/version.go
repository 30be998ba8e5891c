package config

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Version orders configuration versions: first by the epoch that operators
// set, then by the platform's revision. The zero Version is older than any other.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Compare returns -1 if v is older than other, 0 if they are equal and 1 if v is
// newer.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Epoch, other.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	return v.Compare(other) < 0
}

// IsZero reports whether v is unset.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns "epoch.revision".
func (v Version) String() string {
	return fmt.Sprintf("%d.%d", v.Epoch, v.Revision)
}

// ParseVersion reads "epoch.revision".
func ParseVersion(text string) (Version, error) {
	epochText, revisionText, ok := strings.Cut(text, ".")
	if !ok {
		return Version{}, eris.Wrapf(ErrBadVersion, "%q", text)
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return Version{}, eris.Wrapf(ErrBadVersion, "%q", text)
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return Version{}, eris.Wrapf(ErrBadVersion, "%q", text)
	}
	return Version{Epoch: epoch, Revision: revision}, nil
}
