package serverconn

import (
	"io"

	"github.com/rotisserie/eris"
)

var errHeadTooLong = eris.New("head of the answer exceeds the size limit")

// headLimitReader limits the bytes read from a connection until the head of an
// answer is complete. It is needed because http.ReadResponse doesn't limit the head.
type headLimitReader struct {
	source io.Reader
	// limited reports that at most remaining bytes may be read.
	limited   bool
	remaining int
}

// setLimit makes Read fail after size bytes, until clearLimit is called.
func (h *headLimitReader) setLimit(size int) {
	h.limited, h.remaining = true, size
}

func (h *headLimitReader) clearLimit() {
	h.limited = false
}

// Read reads from the source. It returns errHeadTooLong once the limit is used up.
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
