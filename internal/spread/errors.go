package spread

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	// ErrVersionMismatch means that a bundle's files make another version than
	// the one it was announced as.
	ErrVersionMismatch = eris.New("the files make another version than the announced one")
	// ErrBadManifest means that a manifest is malformed, too large or has
	// another hash than the announced one.
	ErrBadManifest = eris.New("the manifest is not the announced one")
	// ErrBadPiece means that a file's packed bytes can't be unpacked.
	ErrBadPiece = eris.New("the file can't be unpacked")
	// ErrBadHostList means that a host list is malformed.
	ErrBadHostList = eris.New("the host list is malformed")
	// ErrUnknownKind means that a document kind is not known here.
	ErrUnknownKind = eris.New("the document kind is unknown")
)
