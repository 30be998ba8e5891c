package serverconn

import (
	"io"

	"github.com/rotisserie/eris"
)

var errHeadTooLong = eris.New("the head of the answer is too long")

// headLimitReader bounds what is read from a connection while the head of an answer is
// awaited: net/http bounds the heads of requests only.
type headLimitReader struct {
	source io.Reader
	// limited reports that at most left bytes may be read.
	limited   bool
	remaining int
}

// setLimit allows so many bytes until lift.
func (h *headLimitReader) setLimit(bytes int) {
	h.limited, h.remaining = true, bytes
}

// clearLimit allows any number of bytes.
func (h *headLimitReader) clearLimit() {
	h.limited = false
}

// Read reads from the source; it fails when the permitted bytes are used up.
func (h *headLimitReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}
