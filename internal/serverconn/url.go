package serverconn

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strings"
)

// opaqueURL returns a URL that is written unchanged: path and query reach the
// server byte for byte as the caller sent them. Targets that begin with two slashes need
// writeRequest.
func opaqueURL(uri string) *url.URL {
	path, query, hasQuery := strings.Cut(uri, "?")
	u := &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return u
}

// writeRequest writes a request with a target as the caller sent it.
func writeRequest(w *bufio.Writer, r *http.Request, target string) error {
	if !strings.HasPrefix(target, "//") {
		return r.Write(w)
	}
	// net/url takes two slashes for the start of an authority and writes a scheme before them.
	if _, err := w.WriteString(r.Method + " " + target + " HTTP/1.1\r\n"); err != nil {
		return err
	}
	return r.Write(&afterFirstLine{Writer: w})
}

// afterFirstLine drops what is written to it up to the end of the first line.
type afterFirstLine struct {
	*bufio.Writer
	began bool
}

// Write drops or writes p.
func (a *afterFirstLine) Write(p []byte) (int, error) {
	if a.began {
		return a.Writer.Write(p)
	}
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		return len(p), nil
	}
	a.began = true
	n, err := a.Writer.Write(p[end:])
	return end + n, err
}
