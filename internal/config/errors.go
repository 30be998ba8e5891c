package config

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	ErrBadVersion  = eris.New("invalid version: want epoch.revision, two whole numbers")
	ErrBadDuration = eris.New("invalid duration: want a string such as \"2s\" or \"150ms\"")
	ErrRejected    = eris.New("the configuration is rejected")
	ErrBadPointer  = eris.New("a JSON pointer is empty or starts with /")
	ErrNoValue     = eris.New("no file sets or removes a value there, and it has no default")
)
