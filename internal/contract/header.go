package contract

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header names of the system.
const (
	HeaderVerdict   = "Boragefall-Verdict"
	HeaderReason    = "Boragefall-Reason"
	HeaderRequestID = "Boragefall-Request-Id"
	HeaderCaller    = "Boragefall-Caller"
	HeaderDeadline  = "Boragefall-Deadline-Ms" // remaining milliseconds
	HeaderAttempt   = "Boragefall-Attempt"
	HeaderHops      = "Boragefall-Hops"
	HeaderKey       = "Idempotency-Key"
	HeaderBootID    = "Boragefall-Boot-Id" // a backend server's process, when it tells
)

// hopByHop lists the headers that end at each connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of headers without those that end at a connection.
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
