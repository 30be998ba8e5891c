package serverconn

import (
	"net/url"
	"strings"
)

// opaqueURL returns a URL that is written unchanged: path and query reach the
// server byte for byte as the caller sent them.
func opaqueURL(uri string) *url.URL {
	path, query, hasQuery := strings.Cut(uri, "?")
	u := &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return u
}
