package routing

import "strings"

// MatchRequest is what a route may ask of a request.
type MatchRequest struct {
	// Method is the HTTP method in upper case.
	Method string
	// Host is the host name as the caller sent it, with or without a port.
	Host string
	// Path is the decoded path without dot segments.
	Path string
	// Header returns the first value of a header, or the empty string. It may
	// be nil when no route asks for headers.
	Header func(name string) string
}

// hostName returns the host in lower case without its port. It allocates only
// for a host that holds upper-case letters.
func (r MatchRequest) hostName() string {
	name := r.Host
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	return strings.ToLower(name)
}
