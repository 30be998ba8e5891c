package configservice

import (
	"cmp"
	"encoding/hex"
	"slices"

	"github.com/rotisserie/eris"

	"boragefall/internal/config"
)

// HostListFile is the name of the only file in the folder of the host list.
const HostListFile = "hosts.json"

// Folder is a snapshot of a set of files at one revision.
type Folder struct {
	// Revision is the platform's revision of the whole folder.
	Revision uint64
	// Files are sorted by name.
	Files []config.File
}

// listing is the response body of GET /v1/list and GET /v1/watch.
type listing struct {
	Revision uint64         `json:"revision"`
	Entries  []listingEntry `json:"entries"`
}

type listingEntry struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

func (l *listing) sort() {
	slices.SortFunc(l.Entries, func(a, b listingEntry) int { return cmp.Compare(a.Name, b.Name) })
}

func (l *listing) equal(other *listing) bool {
	return l.Revision == other.Revision && slices.Equal(l.Entries, other.Entries)
}

// hash decodes the SHA-256 in the entry.
func (e listingEntry) hash() (config.Hash, error) {
	var h config.Hash
	raw, err := hex.DecodeString(e.SHA256)
	if err != nil || len(raw) != len(h) {
		return h, eris.Wrapf(ErrMalformed, "invalid SHA-256 of %q in the listing", e.Name)
	}
	copy(h[:], raw)
	return h, nil
}

// fileCache maps hashes to file contents.
type fileCache map[config.Hash][]byte

func newFileCache(files []config.File) fileCache {
	cache := make(fileCache, len(files))
	for _, f := range files {
		cache[config.HashOf(f.Data)] = f.Data
	}
	return cache
}
