package config

import "time"

// ValidationNumber is the number of the rules in this package. It changes with
// every change that accepts or rejects other folders, or that gives another
// document for the same bytes. Nodes send it, so a fleet that runs mixed rules
// is visible.
const ValidationNumber = 1

// Limits of a folder.
const (
	// MaxTotalBytes is the size in bytes that all files of a folder may have
	// together.
	MaxTotalBytes = 1_000_000
	// MaxFiles is the number of files that a folder may hold.
	MaxFiles = 1024
	// MaxDepth is the number of objects and arrays that may stand inside each
	// other.
	MaxDepth = 16
	// MaxNameBytes is the length in bytes of a file name.
	MaxNameBytes = 100
)

// Limits of single values.
const (
	MaxSlots        = 10_000    // requests at once
	MaxConnections  = 65_535    // connections to one server
	MaxQueueLimit   = 100_000   // waiting requests
	MaxWarmAfter    = 1_000_000 // good answers
	MinResendWindow = time.Second
	MaxResendWindow = 10 * time.Minute
	MinTimeout      = time.Millisecond
	MaxTimeout      = 10 * time.Minute
	MaxRetries      = 5    // attempts after the first
	MaxCallerWeight = 100  // shares
	MaxPathBytes    = 1024 // bytes of a path
)
