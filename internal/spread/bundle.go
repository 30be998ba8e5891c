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

// kinds lists the document kinds in the order in which the source is read.
var kinds = [...]wire.DocumentKind{KindConfig, KindHostList}

// Bundle is one version of a document with all its files. It is immutable.
type Bundle struct {
	Kind    wire.DocumentKind
	Version config.Version
	// Manifest lists the files; Hash is the hash of the manifest.
	Manifest config.Manifest
	Hash     config.Hash
	// Files is sorted by name.
	Files []config.File

	packed packedFiles
}

// packedFiles holds compressed files by the hash of their uncompressed bytes.
type packedFiles map[config.Hash][]byte

// newBundle returns the bundle of a version. It compresses the files that are missing
// from packed.
func newBundle(kind wire.DocumentKind, version config.Version, files []config.File, packed packedFiles) *Bundle {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b config.File) int { return cmp.Compare(a.Name, b.Name) })
	manifest := config.ManifestOf(sorted)
	b := &Bundle{
		Kind: kind, Version: version, Manifest: manifest, Hash: manifest.Hash(), Files: sorted,
		packed: make(packedFiles, len(sorted)),
	}
	for i, entry := range manifest {
		if known, ok := packed[entry.Hash]; ok {
			b.packed[entry.Hash] = known
			continue
		}
		b.packed[entry.Hash] = pack(sorted[i].Data)
	}
	return b
}

// find returns the content of the file with a hash.
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

func (b *Bundle) packedFiles() packedFiles {
	if b == nil {
		return nil
	}
	return b.packed
}

func (b *Bundle) files() []config.File {
	if b == nil {
		return nil
	}
	return b.Files
}
