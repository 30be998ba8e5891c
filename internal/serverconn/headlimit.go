package serverconn

import (
	"io"

	"github.com/rotisserie/eris"
)

var errLongHead = eris.New("the head of the answer is too long")

// headLimit bounds what is read from a connection while the head of an answer is
// awaited: net/http bounds the heads of requests only.
type headLimit struct {
	source io.Reader
	// limited reports that at most left bytes may be read.
	limited bool
	left    int
}

// permit allows so many bytes until lift.
func (h *headLimit) permit(bytes int) {
	h.limited, h.left = true, bytes
}

// lift allows any number of bytes.
func (h *headLimit) lift() {
	h.limited = false
}

// Read reads from the source; it fails when the permitted bytes are used up.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.left == 0 {
		return 0, errLongHead
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
