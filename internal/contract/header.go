package contract

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the headers that Boragefall reads or sets.
const (
	HeaderVerdict   = "Boragefall-Verdict"
	HeaderReason    = "Boragefall-Reason"
	HeaderRequestID = "Boragefall-Request-Id"
	HeaderCaller    = "Boragefall-Caller"
	HeaderDeadline  = "Boragefall-Deadline-Ms" // milliseconds until the deadline
	HeaderAttempt   = "Boragefall-Attempt"
	HeaderHops      = "Boragefall-Hops"
	HeaderKey       = "Idempotency-Key"
	HeaderBootID    = "Boragefall-Boot-Id" // identifies the backend server's process; optional
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the hop-by-hop headers.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
