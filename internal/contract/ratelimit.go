package contract

// RateLimit is the request rate that a server states it accepts.
type RateLimit struct {
	// Stated reports that there is a limit.
	Stated bool
	// PerSecond is the rate in requests a second; 0 means that the server accepts none.
	PerSecond float64
}

// LowerThan reports whether l permits fewer requests than o.
func (l RateLimit) LowerThan(o RateLimit) bool {
	return l.Stated && (!o.Stated || l.PerSecond < o.PerSecond)
}
