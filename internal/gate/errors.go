package gate

import "github.com/rotisserie/eris"

// ErrNotDrained reports that requests were still running or waiting when Drain returned.
var ErrNotDrained = eris.New("gate not drained")
