// Package examples holds the example configuration folders.
package examples

import "embed"

// Folders holds one directory for each example deployment.
//
//go:embed fyrnet/*.json anilla-sur/*.json
var Folders embed.FS
