package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// Hash is the SHA-256 of a file or of a whole manifest.
type Hash [sha256.Size]byte

// String returns the first eight bytes in hexadecimal, for logs and status.
func (h Hash) String() string {
	return hex.EncodeToString(h[:8])
}

// HashOf returns the hash of data.
func HashOf(data []byte) Hash {
	return sha256.Sum256(data)
}

// File is one file of the folder.
type File struct {
	Name string
	Data []byte
}

// ManifestEntry identifies the content of one file.
type ManifestEntry struct {
	Name string
	Hash Hash
	Size int
}

// Manifest lists the files of one version in byte order of their names.
type Manifest []ManifestEntry

// ManifestOf returns the manifest of files, sorted by name.
func ManifestOf(files []File) Manifest {
	manifest := make(Manifest, 0, len(files))
	for _, f := range files {
		manifest = append(manifest, ManifestEntry{Name: f.Name, Hash: HashOf(f.Data), Size: len(f.Data)})
	}
	slices.SortFunc(manifest, func(a, b ManifestEntry) int { return cmp.Compare(a.Name, b.Name) })
	return manifest
}

// Hash returns the hash of the manifest: the names, each with its length, and the
// hashes of the contents.
func (m Manifest) Hash() Hash {
	sum := sha256.New()
	var length [8]byte
	for _, entry := range m {
		binary.BigEndian.PutUint64(length[:], uint64(len(entry.Name)))
		sum.Write(length[:])
		sum.Write([]byte(entry.Name))
		sum.Write(entry.Hash[:])
	}
	return Hash(sum.Sum(nil))
}

// Snapshot is one accepted version of the configuration. It is immutable and is
// replaced through an atomic pointer.
type Snapshot struct {
	// Version orders snapshots.
	Version Version
	// Hash identifies the bytes of all files.
	Hash Hash
	// Files is sorted by name.
	Files []File
	// Document is the merged and checked configuration with defaults applied.
	Document *Document
}
