package spread

import (
	"cmp"
	"slices"

	"boragefall/internal/config"
	"boragefall/internal/wire"
)

// Document kinds.
const (
	KindConfig   = wire.DocumentKind_DOCUMENT_KIND_CONFIG
	KindHostList = wire.DocumentKind_DOCUMENT_KIND_HOST_LIST
)

// kinds lists the document kinds in the order in which they are read.
var kinds = [...]wire.DocumentKind{KindConfig, KindHostList}

// Bundle is one version of a document with all its files. It is immutable.
type Bundle struct {
	Kind    wire.DocumentKind
	Version config.Version
	// Manifest lists the files; Hash is its hash.
	Manifest config.Manifest
	Hash     config.Hash
	// Files is sorted by name.
	Files []config.File

	packed map[config.Hash][]byte // the files as they cross the link
}

// NewBundle returns the bundle of a version. It takes over what the version
// before, which may be nil, has packed.
func NewBundle(kind wire.DocumentKind, version config.Version, files []config.File, before *Bundle) *Bundle {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b config.File) int { return cmp.Compare(a.Name, b.Name) })
	manifest := config.ManifestOf(sorted)
	b := &Bundle{
		Kind: kind, Version: version, Manifest: manifest, Hash: manifest.Hash(), Files: sorted,
		packed: make(map[config.Hash][]byte, len(sorted)),
	}
	for i, entry := range manifest {
		if before != nil && before.packed[entry.Hash] != nil {
			b.packed[entry.Hash] = before.packed[entry.Hash]
			continue
		}
		b.packed[entry.Hash] = pack(sorted[i].Data)
	}
	return b
}

// find returns the bytes with a hash.
func (b *Bundle) find(hash config.Hash) ([]byte, bool) {
	if b == nil {
		return nil, false
	}
	for i, entry := range b.Manifest {
		if entry.Hash == hash {
			return b.Files[i].Data, true
		}
	}
	return nil, false
}

func (b *Bundle) files() []config.File {
	if b == nil {
		return nil
	}
	return b.Files
}
