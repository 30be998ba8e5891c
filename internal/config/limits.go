package config

import "time"

// ValidationNumber is the version of the rules in this package. Change it whenever
// the set of accepted folders changes or the same bytes give another document.
// Nodes send it, so that operators can see a fleet with mixed rules.
const ValidationNumber = 1

// Limits of a folder.
const (
	// MaxTotalBytes is the size in bytes that all files of a folder may have
	// together.
	MaxTotalBytes = 1_000_000
	// MaxFiles is the maximum number of files in a folder.
	MaxFiles = 1024
	// MaxDepth is the nesting limit of objects and arrays.
	MaxDepth = 16
	// MaxNameBytes is the maximum length of a file name in bytes.
	MaxNameBytes = 100
)

// Limits of single values.
const (
	MaxSlots        = 10_000    // concurrent requests
	MaxConnections  = 65_535    // connections to one server
	MaxQueueLimit   = 100_000   // queued requests
	MaxWarmAfter    = 1_000_000 // successful responses
	MinResendWindow = time.Second
	MaxResendWindow = 10 * time.Minute
	MinTimeout      = time.Millisecond
	MaxTimeout      = 10 * time.Minute
	MaxRetries      = 5    // attempts after the first
	MaxCallerWeight = 100  // relative share
	MaxPathBytes    = 1024 // bytes of a path
)
