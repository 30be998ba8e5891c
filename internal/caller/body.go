package caller

import (
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"boragefall/internal/intake"
)

// bodySource reads a caller's body under read deadlines.
type bodySource struct {
	io.Reader
	controller *http.ResponseController
}

func newBodySource(c *gin.Context) bodySource {
	return bodySource{Reader: c.Request.Body, controller: http.NewResponseController(c.Writer)}
}

// SetReadDeadline bounds the reads of the connection.
func (s bodySource) SetReadDeadline(t time.Time) error {
	return s.controller.SetReadDeadline(t)
}

// body yields a caller's body once for each attempt.
type body struct {
	*intake.Body
	opened bool
}

// Open returns the body for the next attempt; false when it was streamed.
func (b *body) Open() (io.Reader, bool) {
	if b.opened && !b.Body.Replayable() {
		return nil, false
	}
	b.opened = true
	return b.Reader(), true
}

// Replayable reports whether Open will succeed once more.
func (b *body) Replayable() bool {
	return !b.opened || b.Body.Replayable()
}

// digest returns the SHA-256 of a body that is held whole.
func (b *body) digest() []byte {
	sum := sha256.New()
	_, _ = io.Copy(sum, b.Reader())
	return sum.Sum(nil)
}

// bytes returns a body that is held whole.
func (b *body) bytes() []byte {
	data, _ := io.ReadAll(b.Reader())
	return data
}
