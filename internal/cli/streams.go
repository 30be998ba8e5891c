package cli

import "io"

// Streams are the standard streams of the process, or stand-ins in tests.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}
