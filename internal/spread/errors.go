package spread

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	// ErrVersionMismatch reports that the files of a bundle have another version than
	// the announced one.
	ErrVersionMismatch = eris.New("version of the files differs from the announced version")
	// ErrBadManifest reports that a manifest is malformed, too large or does not match
	// the announced hash.
	ErrBadManifest = eris.New("invalid manifest")
	// ErrBadPiece reports that a file can't be decompressed.
	ErrBadPiece = eris.New("cannot decompress file")
	// ErrBadHostList reports that a host list is malformed.
	ErrBadHostList = eris.New("malformed host list")
	// ErrUnknownKind reports an unknown document kind.
	ErrUnknownKind = eris.New("unknown document kind")
)
