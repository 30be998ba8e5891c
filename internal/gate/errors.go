package gate

import "github.com/rotisserie/eris"

// ErrNotDrained reports that requests still ran or waited when Drain gave up.
var ErrNotDrained = eris.New("gate not drained")
