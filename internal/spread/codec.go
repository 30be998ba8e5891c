package spread

import (
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/wire"
)

// Limits of a manifest.
const (
	maxManifestEntries = 4096
	maxBundleBytes     = 8 << 20
)

func versionToWire(v config.Version) *wire.ConfigVersion {
	return &wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
}

func versionFromWire(v *wire.ConfigVersion) config.Version {
	return config.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

func hashFromWire(raw []byte) (config.Hash, bool) {
	var h config.Hash
	if len(raw) != len(h) {
		return h, false
	}
	copy(h[:], raw)
	return h, true
}

func manifestToWire(m config.Manifest) []*wire.ManifestEntry {
	out := make([]*wire.ManifestEntry, 0, len(m))
	for _, e := range m {
		out = append(out, &wire.ManifestEntry{Name: e.Name, Hash: e.Hash[:], Size: uint64(e.Size)})
	}
	return out
}

// manifestFromWire decodes a manifest and checks its limits and its hash.
func manifestFromWire(entries []*wire.ManifestEntry, want config.Hash) (config.Manifest, error) {
	if len(entries) > maxManifestEntries {
		return nil, eris.Wrapf(ErrBadManifest, "too many entries: %d", len(entries))
	}
	manifest := make(config.Manifest, 0, len(entries))
	total := uint64(0)
	for _, e := range entries {
		hash, ok := hashFromWire(e.GetHash())
		if !ok || e.GetSize() > maxBundleBytes {
			return nil, eris.Wrapf(ErrBadManifest, "invalid hash or size of entry %q", e.GetName())
		}
		total += e.GetSize()
		manifest = append(manifest, config.ManifestEntry{Name: e.GetName(), Hash: hash, Size: int(e.GetSize())})
	}
	if total > maxBundleBytes {
		return nil, eris.Wrapf(ErrBadManifest, "total size of the files is too large: %d bytes", total)
	}
	if manifest.Hash() != want {
		return nil, eris.Wrap(ErrBadManifest, "hash does not match the announced hash")
	}
	return manifest, nil
}
