package routing

import "strings"

// MatchRequest holds the properties of a request that routes match on.
type MatchRequest struct {
	// Method is the HTTP method in upper case.
	Method string
	// Host is the host name as the caller sent it, with or without a port.
	Host string
	// Path is the decoded path without dot segments.
	Path string
	// Header returns the first value of a header, or the empty string. If it is
	// nil, no route with header conditions matches.
	Header func(name string) string
}

// hostName returns the host in lower case without its port. It allocates only if
// the host contains upper-case letters.
func (r MatchRequest) hostName() string {
	name := r.Host
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	return strings.ToLower(name)
}
