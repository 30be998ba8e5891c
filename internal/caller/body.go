package caller

import (
	"crypto/sha256"
	"io"

	"boragefall/internal/intake"
)

// body yields a caller's body once for each attempt.
type body struct {
	*intake.Body
	opened bool
}

// Open returns the body for the next attempt; false when it was streamed.
func (b *body) Open() (io.Reader, bool) {
	if b.opened && !b.Body.CanOpen() {
		return nil, false
	}
	b.opened = true
	return b.Reader(), true
}

// CanOpen reports whether Open will succeed once more.
func (b *body) CanOpen() bool {
	return !b.opened || b.Body.CanOpen()
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
